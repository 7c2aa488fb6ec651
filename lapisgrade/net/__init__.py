"""The limiter's network I/O: clients, upstream servers, discovery and the counter service.

Protocol details stay in this package; the policy is independent of them. A request is processed as follows:

    client_listener, client_connection   accept the request; request_parser turns it into an operation
    host                                 passes it to the policy and executes the policy's commands
    connection_pool, upstream_connection write attempts to servers in the format of server_protocol
    close_reason                         classifies how each attempt ended

`service` assembles these parts from the configuration file.
"""

SECOND = 1_000_000  # us
