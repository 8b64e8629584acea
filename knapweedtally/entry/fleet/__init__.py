"""What a host learns from the store and exchanges with other hosts.

Objects of the store and datagrams of other hosts come in; the configuration,
the live hosts and messages to listeners go out. It never looks at statements
or groups.
"""
