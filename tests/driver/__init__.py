"""Run several proxies in one process, in virtual time, from one seed."""
