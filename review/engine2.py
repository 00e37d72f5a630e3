"""A stand-in for an engine or a service, as a process of its own.

Usage: engine2.py ID IP PORT BORN [NAME=VALUE ...]

Options:
  events=N      number of events of a stream, or of parts of another answer
  gap_ms=N      time between two of them
  unframed=1    answers have neither a length nor chunks and end with their
                channel
  read_bps=N    reads bodies at N bytes a second; 0 reads them at once
  first_ms=N    time from the head of an answer to its first event
  deadly=ID     the engine crashes when it begins to write on a prompt that has
                this part
"""

import asyncio
import json
import os
import signal
import sys

PART_BYTES = 64
READ_BYTES = 65536


def say(**event):
    print(json.dumps(event), flush=True)


class Engine:
    def __init__(self, engine_id, born, options):
        self.id = engine_id
        self.born = born
        self.options = options
        self.running = 0

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        data = await reader.readuntil(b'\r\n\r\n')
        lines = data.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, found, value = line.partition(':')
            if found:
                headers[name.strip().lower()] = value.strip()
        if 'x-attempt-id' in headers:
            say(event='arrives', id=headers['x-attempt-id'])
        body = await self.read_body(reader, headers)
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.id):
            self.answer(writer, 421, b'', {'X-Instance-Id': self.id})
            return True
        if target == '/api/report':
            self.answer(writer, 200, json.dumps(self.report()).encode(), {})
            return True
        if target == '/healthz':
            self.answer(writer, 200, b'', {'X-Instance-Id': self.id})
            return True
        return await self.run(writer, method, target, headers, body)

    async def read_body(self, reader, headers):
        left = int(headers.get('content-length', 0))
        speed = int(self.options.get('read_bps', 0))
        body = b''
        while left:
            data = await reader.readexactly(min(left, READ_BYTES))
            left -= len(data)
            body += data
            if speed:
                await asyncio.sleep(len(data) / speed)
        return body

    def report(self):
        return {
            'stage': 'colocated',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': 1,
            'waiting': 0,
            'running': self.running,
            'kvUsed': 0,
            'kvTotal': 450000,
            'handles': 0,
            'pace': 1.0,
            'tickets': [],
            'born': self.born,
        }

    def answer(self, writer, status, body, headers):
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)

    async def run(self, writer, method, target, headers, body):
        request_id = headers.get('x-attempt-id', '')
        say(
            event='runs',
            id=request_id,
            method=method,
            target=target,
            resumes=headers.get('last-event-id'),
            body=len(body),
        )
        self.running += 1
        try:
            await self.write(writer, target, headers, request_id)
            say(event='ends', id=request_id)
        except OSError:
            say(event='left', id=request_id)
            raise
        finally:
            self.running -= 1
        return False

    async def write(self, writer, target, headers, request_id):
        is_stream = target.startswith('/stream/')
        lines = [
            'HTTP/1.1 200 OK',
            f'X-Attempt-Id: {request_id}',
            f'X-Response-Seal: seal.{self.id}',
            f'X-Engine-Load: {self.running},0,8',
            'Content-Type: '
            + ('text/event-stream' if is_stream else 'text/plain'),
            'Connection: close',
        ]
        events = int(self.options.get('events', 10))
        is_unframed = self.options.get('unframed') == '1'
        if not is_unframed and is_stream:
            lines.append('Transfer-Encoding: chunked')
        elif not is_unframed:
            lines.append(f'Content-Length: {events * PART_BYTES}')
        writer.write('\r\n'.join([*lines, '', '']).encode())
        await writer.drain()
        await asyncio.sleep(int(self.options.get('first_ms', 0)) / 1000)
        parts = headers.get('x-prompt-prefix', '').split(',')
        ids = [part.partition(':')[0] for part in parts]
        if self.options.get('deadly') in ids[:-1]:
            say(event='crashes', id=request_id)
            os.kill(os.getpid(), signal.SIGKILL)
        say(event='begins', id=request_id)
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first if is_stream else 1, events + 1):
            if is_stream:
                part = f'id: {number}\ndata: piece {number}\n\n'.encode()
            else:
                part = f'part {number} '.encode().ljust(PART_BYTES, b'.')
            if is_stream and not is_unframed:
                part = f'{len(part):x}\r\n'.encode() + part + b'\r\n'
            writer.write(part)
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
            if number < events:
                await asyncio.sleep(int(self.options.get('gap_ms', 5)) / 1000)
        if is_stream and not is_unframed:
            writer.write(b'0\r\n\r\n')
        await writer.drain()


async def main():
    engine_id, ip, port, born, *rest = sys.argv[1:]
    options = dict(text.split('=', 1) for text in rest)
    engine = Engine(engine_id, int(born), options)
    server = await asyncio.start_server(engine.serve, ip, int(port))
    say(event='listens')
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
