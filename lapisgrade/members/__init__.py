"""Which limiters are alive, by SWIM with Lifeguard's additions, for installations where limiters may talk.

There are two membership packages, as they serve two programs. Here the limiter (`lapisgrade serve --site`)
finds by itself who lives, without anybody who decides: SWIM's failure detector. In `gateway.membership` the
controllers decide by consensus which proxies live, and a proxy only keeps a sample of them to ask for the
leader (Cyclon), and divides the committed membership into subsets. Both send datagrams through
`lapisgrade.peers`.

`messages`, `timing`, `dissemination`, `failure_detector` and `core` are pure; `host` is the shell round them,
`site` the operator's file, `sim` a simulated network. Off, and not imported, in `python -m lapisgrade`.
"""
