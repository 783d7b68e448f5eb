"""The two deployments of the brief."""

from dataclasses import replace

from deckdrum.bench.deployment import Layout

_BUOY_CONNECTIONS = 40
#: One way, in seconds.
_BUOY_LATENCY = 0.001
#: Stall bookings, western Slovakia.
MARKET = Layout(proxies=8)
#: Buoy records, East Midlands.
BUOY = replace(
    MARKET,
    data_centres=('derby-hall', 'nottm-hall', 'leic-hall'),
    services=('readings', 'moorings', 'corrections'),
    groups=('operators', 'harbours', 'surveyors'),
    proxies=9,
    max_connections=_BUOY_CONNECTIONS,
    hop_latency=_BUOY_LATENCY,
)
