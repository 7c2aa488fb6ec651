"""The routing of one request at a proxy: its route, its tenant's quota, its service, its attempts.

`router.Router` puts the parts together; each of the other modules decides one question and does no I/O:

* `route_versions`: by which version of the configuration is it matched? `route_table`: to which route?
* `split`: which service takes it, where its route has several?
* `balancer`: which server of the service is it sent to? `upstream_server`: what would it take there?
* `request_attempts`: when is it queued, hedged, retried, given up?
* `retry_budget`: may one more attempt be sent?
* `idle_connections`: is an idle connection to the server still trusted?
* `upstream_protocol`: what do requests and responses look like, and what does a response mean?
"""
