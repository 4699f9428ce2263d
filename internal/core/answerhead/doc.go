// Package answerhead checks the heads of HTTP/1 answers byte by byte, before anything else reads them. The
// readers of net/http accept some forms that RFC 9112 forbids, and take what follows such a head for a body, or a
// body for the next head. It is pure: no I/O, goroutines or clocks.
//
// A head is broken unless
//   - its first line is HTTP/1.0 or HTTP/1.1, one blank, a status of three digits from 100 to 599 other than 101,
//     which nobody asks for, and, after one blank, any reason without control bytes;
//   - each name of a field is a token that its colon follows directly, and no value has control bytes;
//   - each line ends with CRLF or LF, and CR is nowhere else;
//   - at most one of Content-Length and Transfer-Encoding frames the body: equal decimal lengths, or "chunked"
//     once, in HTTP/1.1, on lines that are not folded; none in an interim response, and none but a length of 0 with
//     status 204.
package answerhead
