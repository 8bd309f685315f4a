"""The platform's metadata store, as PROTOCOL.md describes it: keyed topics of one partition."""
import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import wire

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


class Topic:
    def __init__(self):
        self.records = []  # encoded
        self.newest = {}  # key -> (offset, value)
        self.epoch = 0
        self.seq_no = None
        self.answers = []  # (epoch, seq_no, offset)

    def push(self, key, value):
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(wire.record(key, value))


class Store:
    def __init__(self, log):
        self.cond = threading.Condition()
        self.topics = {}
        self.log = log
        self.refused_sizes = 0
        self.largest = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def append(self, query, body, from_outside):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers") and not from_outside:
            return 403, {}
        records = list(wire.split_records(body))
        largest = max((length for _, _, length in records), default=0)
        self.largest = max(self.largest, largest)
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_sizes += 1
            if self.refused_sizes <= 3:
                self.log("store refuses an append", topic=name, largest_record=largest, bytes=len(body))
            return 413, {"reason": "size"}
        time.sleep(0.002)
        with self.cond:
            topic = self.topic(name)
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "epoch" in query:
                epoch, seq_no = int(query["epoch"]), int(query["seq_no"])
                if epoch < topic.epoch:
                    return 409, {"reason": "fenced"}
                if epoch > topic.epoch:
                    topic.epoch, topic.answers = epoch, []
                elif topic.seq_no is not None and seq_no != topic.seq_no + 1:
                    for e, s, offset in topic.answers:
                        if (e, s) == (epoch, seq_no):
                            return 200, {"offset": offset, "end": end}
                    return 409, {"reason": "seq", "expected": topic.seq_no + 1}
                topic.seq_no = seq_no
                topic.answers = (topic.answers + [(epoch, seq_no, end)])[-5:]
            for key, value, _ in records:
                topic.push(key, value)
            self.cond.notify_all()
            return 200, {"offset": end, "end": len(topic.records)}

    def read(self, query):
        start, wait = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        limit = int(query.get("max_kb", 1024)) * 1024
        with self.cond:
            topic = self.topic(query["topic"])
            self.cond.wait_for(lambda: len(topic.records) > start, timeout=min(wait, 30))
            data = struct.pack(">QQ", len(topic.records), 0)
            for at in range(start, len(topic.records)):
                if len(data) > 16 and len(data) + len(topic.records[at]) > limit:
                    break
                data += topic.records[at]
            return data

    def newest(self, query):
        after = query.get("after")
        with self.cond:
            topic = self.topic(query["topic"])
            keys = sorted(k for k in topic.newest if after is None or k > after)
            items, size = [], 0
            for key in keys[:500]:
                offset, value = topic.newest[key]
                if items and size + len(value) > 1_000_000:
                    break
                size += len(value)
                items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            return {"items": items, "more": len(items) < len(keys), "end": len(topic.records)}


def serve(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def reply(self, status, data, kind="application/json"):
            self.send_response(status)
            self.send_header("Content-Type", kind)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_POST(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if url.path == "/-/log-append":
                status, reply = store.append(query, body, "X-Outside" in self.headers)
            else:
                status, reply = 404, {}
            self.reply(status, json.dumps(reply).encode())

        def do_GET(self):
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if url.path == "/-/log-read":
                self.reply(200, store.read(query), "application/octet-stream")
            elif url.path == "/-/log-newest":
                self.reply(200, json.dumps(store.newest(query)).encode())
            else:
                self.reply(404, b"{}")

    return start_server(Handler)


def start_server(handler):
    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            """A caller that has closed its connection is no error."""

    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"
