// Package caller sends completions, chats and service calls to a daemon as an
// ordinary client does, and measures and classifies the answers.
package caller
