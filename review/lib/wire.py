"""Small HTTP client, and the records of the store's topics."""
import http.client
import json
import struct


def call(addr, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, body bytes); raises OSError or HTTPException if there is no whole answer."""
    host, port = addr.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def record(key, value):
    key = key.encode()
    data = bytes([len(key)]) + key + value
    return struct.pack(">I", len(data)) + data


def split_records(body):
    """The records of a body as (key, value bytes, length)."""
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        data = body[at + 4:at + 4 + length]
        key_length = data[0]
        yield data[1:1 + key_length].decode(), data[1 + key_length:], length
        at += 4 + length


def put(store, topic, key, value):
    """Writes a record as operators and runners do; `value` is JSON, or None to delete the key."""
    data = b"" if value is None else json.dumps(value).encode()
    try:
        call(store, "POST", f"/-/log-append?topic={topic}&part=0", record(key, data),
             {"X-Outside": "1"}, timeout=2.0)
    except (OSError, http.client.HTTPException):
        pass  # written again with the next heartbeat
