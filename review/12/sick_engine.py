"""An engine in trouble: answers each stream with bytes that are no event and
have no end, until its caller closes. Arguments: address, port, number of bytes
in a line. One chunk a line, as servers send that flush each line."""
import socket
import sys
import threading


def serve(connection, piece):
    try:
        while True:
            head = b""
            while b"\r\n\r\n" not in head:
                part = connection.recv(65536)
                if not part:
                    return
                head += part
            text = head.decode("latin-1")
            fields = dict(line.split(": ", 1)
                          for line in text.split("\r\n")[1:] if ": " in line)
            fields = {name.lower(): value for name, value in fields.items()}
            if text.startswith("GET /kv-events"):
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: 48\r\n\r\n"
                    b'{"epoch":1,"next":1,"lost":false,"events":[]}   ')
                continue
            attempt = fields.get("x-attempt-id", "")
            print(f"run {attempt}", flush=True)
            connection.sendall(
                (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                 f"X-Response-Seal: 3e1b.{attempt}\r\n"
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
            while True:
                connection.sendall(piece)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    host, port, size = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    line = b"a" * (size - 1) + b"\n"
    piece = (f"{size:x}\r\n".encode() + line + b"\r\n") * 2000
    listener = socket.create_server((host, port))
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, piece),
                         daemon=True).start()


main()
