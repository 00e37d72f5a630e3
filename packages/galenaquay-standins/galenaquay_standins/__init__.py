"""Stand-ins for the systems that galenaquay connects to.

The engine, service and platform stand-ins implement the published
protocols over real sockets and inject faults on request. The stand-ins do not
simulate a network or a cluster.
"""
