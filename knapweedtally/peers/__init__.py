"""Communication between proxies: CBOR messages over websockets."""
