"""Reference layouts of the experiments."""

from dataclasses import replace

from deckdrum.bench.deployment import Layout

_BUOY_MAX_CONNECTIONS = 40
_BUOY_HOP_LATENCY_S = 0.001
#: Market stall bookings: three services with uneven group weights.
MARKET = Layout(proxies=8)
#: Buoy readings: nine proxies, more connections and a shorter hop latency.
BUOY = replace(
    MARKET,
    data_centres=('derby-hall', 'nottm-hall', 'leic-hall'),
    services=('readings', 'moorings', 'corrections'),
    groups=('operators', 'harbours', 'surveyors'),
    proxies=9,
    max_connections=_BUOY_MAX_CONNECTIONS,
    hop_latency=_BUOY_HOP_LATENCY_S,
)
