"""The limiter on sockets: clients, upstream servers, discovery and the counter service.

The protocols' names end in this package; the policy knows none of them. The way of a request:

    client_listener, client_connection   accept a request; request_parser turns it into an operation
    host                                 hands it to the policy, and carries out what that asks for
    connection_pool, upstream_connection write its attempts to servers, by server_protocol
    close_reason                         says what became of each

`service` assembles all of it from the configuration file.
"""

SECOND = 1_000_000  # us
