"""Proxies on loopback that can cut single paths: from a node to the store, to a runner, or to another
node.

While paths are cut, a proxy recognises which node a connection comes from by the process that holds
the other end of it.  A cut is silent: bytes are held back and new connections hang, until it heals.
A path that is turned away has its connections reset instead.
"""

import asyncio
import os
import threading
import time

CHECK_S = 0.02


def _connected_sockets():
    """Returns the sockets on loopback by their port and that of the other end."""
    sockets = {}
    with open("/proc/net/tcp") as file:
        next(file)
        for line in file:
            fields = line.split()
            (_, port), (_, peer_port) = (field.split(":") for field in fields[1:3])
            if fields[9] != "0":
                sockets[int(port, 16), int(peer_port, 16)] = fields[9]
    return sockets


def _sockets_of(pid):
    """Returns the sockets that a process holds."""
    found = set()
    folder = "/proc/%d/fd" % pid
    for name in os.listdir(folder):
        try:
            target = os.readlink(os.path.join(folder, name))
        except OSError:
            continue
        if target.startswith("socket:["):
            found.add(target[8:-1])
    return found


class Links:
    """All proxies of a deployment, which run in a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        # The process id of each node by its name.
        self.nodes = {}
        # Pairs of a node and a proxy whose path is cut.
        self.cuts = set()
        # Pairs of a node and a proxy that resets its connections.
        self.turned_away = set()
        self.connections = set()

    def proxy(self, name, target=None):
        """Starts a proxy; returns it.  The target's port may be set later."""
        proxy = Proxy(self, name, target)
        asyncio.run_coroutine_threadsafe(proxy.start(), self.loop).result()
        return proxy

    def cut(self, pairs, turned_away):
        """Cuts these paths and turns others away, until `heal`."""
        self.turned_away = set(turned_away)
        self.cuts = set(pairs)
        threading.Thread(target=self._resolve, daemon=True).start()

    def heal(self):
        """Makes all paths whole again."""
        self.turned_away = set()
        self.cuts = set()

    def _resolve(self):
        """Finds out where connections come from, as long as paths are cut."""
        while self.cuts:
            unknown = [link for link in list(self.connections) if link.node is None]
            if unknown:
                sockets = _connected_sockets()
                holders = {inode: name for name, pid in self.nodes.items()
                           for inode in _sockets_of(pid)}
                for link in unknown:
                    link.node = holders.get(sockets.get((link.port, link.proxy.port)))
            time.sleep(CHECK_S)


class Connection:
    """One connection through a proxy; `node` is none until its source is known."""

    def __init__(self, proxy, port):
        self.proxy = proxy
        self.port = port
        self.node = None

    def is_turned_away(self):
        return (self.node, self.proxy.name) in self.proxy.links.turned_away

    def is_held(self):
        cuts = self.proxy.links.cuts
        return bool(cuts) and (self.node is None or (self.node, self.proxy.name) in cuts)


class Proxy:
    """Passes connections on to one port."""

    def __init__(self, links, name, target):
        self.links = links
        self.name = name
        self.target = target
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        link = Connection(self, writer.get_extra_info("peername")[1])
        self.links.connections.add(link)
        far_writer = None
        try:
            await _until_whole(link)
            if link.is_turned_away():
                raise ConnectionResetError
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            ways = [_pass_on(link, reader, far_writer), _pass_on(link, far_reader, writer)]
            ways = [asyncio.ensure_future(way) for way in ways + [_until_turned_away(link)]]
            _, pending = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in pending:
                way.cancel()
        except OSError:
            pass
        self.links.connections.discard(link)
        writer.transport.abort()
        if far_writer is not None:
            far_writer.transport.abort()


async def _until_whole(link):
    while link.is_held():
        await asyncio.sleep(CHECK_S)


async def _until_turned_away(link):
    while not link.is_turned_away():
        await asyncio.sleep(CHECK_S)


async def _pass_on(link, reader, writer):
    try:
        while True:
            data = await reader.read(65536)
            if not data:
                return
            await _until_whole(link)
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
