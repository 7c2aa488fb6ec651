"""Request routing of a proxy: route matching, tenant quotas, service selection and upstream attempts.

`router.Router` combines the other modules. Each of them makes one decision and does no I/O:

* `route_versions`: the configuration version that a request is matched against; `route_table`: its route.
* `split`: the service, if the route splits its traffic.
* `balancer`: the server of the service; `upstream_server`: the expected latency of a request at a server.
* `keyed_request`: whether a request with an operation key runs, or gets the response of an earlier attempt.
* `request_attempts`: when a request is queued, hedged, retried or failed.
* `retry_budget`: whether another attempt may be sent.
* `idle_connections`: whether an idle connection to a server may be reused.
* `upstream_protocol`: the format of requests and responses, and the classification of responses.
"""
