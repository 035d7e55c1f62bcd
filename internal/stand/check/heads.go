package check

// BrokenHeads returns heads of responses that are not valid HTTP, by what is wrong with them. They
// announce a body of 5 bytes, if any. fields are encoded header fields that each of them has.
func BrokenHeads(fields string) map[string]string {
	const length = "Content-Length: 5\r\n\r\n"
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"status 000":                         "HTTP/1.1 000 X\r\n" + fields + length,
		"status 000 without a length":        "HTTP/1.1 000 X\r\n" + fields + "\r\n",
		"status 099":                         "HTTP/1.1 099 X\r\n" + fields + length,
		"status 101 that nobody asked for":   "HTTP/1.1 101 X\r\n" + fields + "\r\n" + ok + length,
		"status 600":                         "HTTP/1.1 600 X\r\n" + fields + length,
		"status 999":                         "HTTP/1.1 999 X\r\n" + fields + length,
		"status with a sign":                 "HTTP/1.1 +20 X\r\n" + fields + length,
		"status of two digits":               "HTTP/1.1 20 OK\r\n" + fields + length,
		"status of four digits":              "HTTP/1.1 2000 OK\r\n" + fields + length,
		"blank within a name":                ok + "Bad Name: x\r\n" + length,
		"blank before the colon":             ok + "Bad : x\r\n" + length,
		"blank before the colon of a length": ok + "Content-Length : 5\r\n\r\n",
		"blank before the colon of a coding": ok + "Transfer-Encoding : chunked\r\n\r\n",
		"blank before a name":                ok + " Bad: x\r\n" + length,
		"tab within a name":                  ok + "Bad\tName: x\r\n" + length,
		"NUL in a name":                      ok + "Bad\x00Name: x\r\n" + length,
		"DEL in a name":                      ok + "Bad\x7fName: x\r\n" + length,
		"CR in a name":                       ok + "Bad\rName: x\r\n" + length,
		"no name":                            ok + ": x\r\n" + length,
		"control byte in a length":           ok + "Content-Length: 5\x01\r\n\r\n",
	}
}
