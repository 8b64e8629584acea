"""The edge between proxies: CBOR over websockets."""
