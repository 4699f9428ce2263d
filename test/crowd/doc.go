// Package crowd sets crowds of clients that do not behave on real processes, and checks what must hold
// on any machine: the process lives, its memory with the bytes that the kernel holds unread for it and
// its open files stay within what its settings allow, and one ordinary request is answered. All of it is
// test code under the build tag crowd, so that each test runs alone: make crowd.
package crowd
