"""A valid configuration, and variants of it."""

STOCK_RULE = {
    "Name": "r-stock",
    "Mode": "idem",
    "Target_time": "400ms",
    "Prio": 2,
    "Public": False,
    "Match": {"Pfx": "/stock/"},
    "Action": {"Svc": "garantie", "Timeout": "2500ms", "Tries": 2},
}


CLAIM_RULE = {
    "Name": "r-claim",
    "Mode": "mutate",
    "Match": {"Pfx": "/stock/claim/"},
    "Action": {"Split": [{"Svc": "garantie", "Wt": 9}, {"Svc": "reports", "Wt": 1}], "Timeout": "3s"},
}


VALID_CONFIGURATION = {
    "Ver": 7,
    "Base": 0,
    "Caps": {"HdrBytes": 16384, "BodyBytes": 65536, "Hdr": "3000ms", "Idle": "15000ms"},
    "Tenants": [{"Name": "sfax", "Apikeys": ["k1", "k2"], "Prio": 1, "RateS": 81, "Burst": 81}],
    "Ports": [{"Vhost": "a.example", "Policy": [STOCK_RULE, CLAIM_RULE]}],
    "Pools": [{"Name": "garantie", "Hcheck": "/healthz", "Maxconn": 130}, {"Name": "reports"}],
}


def with_fields(**fields) -> dict:
    """Return the valid configuration with these fields replaced."""
    return {**VALID_CONFIGURATION, **fields}


def with_rule(**fields) -> dict:
    """Return the valid configuration with these fields of its stock rule replaced."""
    return with_fields(Ports=[{"Vhost": "a.example", "Policy": [{**STOCK_RULE, **fields}, CLAIM_RULE]}])


def with_action(**fields) -> dict:
    """Return the valid configuration with these fields of its stock rule's action replaced."""
    return with_rule(Action={**STOCK_RULE["Action"], **fields})
