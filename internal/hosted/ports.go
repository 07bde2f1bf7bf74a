package hosted

import "strconv"

func portText(port int) string { return strconv.Itoa(port) }
