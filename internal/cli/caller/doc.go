// Package caller is a client of the caller API: it sends completions, chats and
// service calls to a daemon, and measures and classifies the answers.
package caller
