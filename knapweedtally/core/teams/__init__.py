"""Teams of callers: who a caller is, and which configuration says so."""
