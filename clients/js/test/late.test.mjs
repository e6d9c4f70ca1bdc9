// Guards against a second run: a repeat is decided on within the window and its connection comes up after it.
import assert from "node:assert/strict";
import http from "node:http";
import net from "node:net";
import test from "node:test";
import { Client } from "../index.mjs";

const WINDOW_MS = 500;

/** An agent whose second connection comes up only after the window. */
class LateAgent extends http.Agent {
  connections = 0;

  createConnection(options, ready) {
    this.connections += 1;
    setTimeout(() => ready(null, net.connect(options)), this.connections === 2 ? WINDOW_MS : 0);
  }
}

test("a keyed call is not repeated on a connection that is late", async () => {
  let received = 0;
  const server = net.createServer((socket) => socket.once("data", () => {
    received += 1;
    socket.destroy(); // the answer is lost
  }));
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = new Client({ gateways: [`http://127.0.0.1:${server.address().port}`], token: "good", spreadMs: 0 });
  client.keepAliveAgent = new LateAgent();
  try {
    const { result } = await client.call("POST", "/bookings",
      { effect: "keyed", key: "k", windowMs: WINDOW_MS, deadlineMs: 3000 });
    await new Promise((resolve) => setTimeout(resolve, 2 * WINDOW_MS)); // the late connection comes up meanwhile
    assert.deepEqual([result.outcome, result.tries, received], ["unknown", 2, 1]);
  } finally {
    client.close();
    server.close();
  }
});
