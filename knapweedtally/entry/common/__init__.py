"""Clock, log, counters and containment of errors, for all parts of a host.

Other parts write and count through these modules, and read the time here. They
return values or nothing, so that a test can replace them. They never decide
about a statement, a target or another host.
"""
