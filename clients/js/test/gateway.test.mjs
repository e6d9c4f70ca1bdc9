// The client against a real gateway with stand-in servers, started from this repository's environment.
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "node:test";
import { fileURLToPath } from "node:url";
import { Client } from "../index.mjs";

const program = process.env.TAMARINDFOLD ?? fileURLToPath(new URL("../../../.venv/bin/tamarindfold", import.meta.url));
const children = [];

function start(...args) {
  const child = spawn(program, args, { stdio: ["ignore", "pipe", "ignore"] });
  children.push(child);
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("exit", (status) => reject(new Error(`${args[0]} exited with status ${status}`)));
    child.stdout.once("data", (line) => resolve(String(line).trim()));
  });
}

const skip = !existsSync(program) && "no gateway is installed";

test("calls through a gateway end as served, rejected, unknown or failed", { skip }, async () => {
  const folder = mkdtempSync(join(tmpdir(), "tamarindfold-"));
  const file = (name, data) => {
    writeFileSync(join(folder, name), JSON.stringify(data)); // JSON is YAML
    return join(folder, name);
  };
  try {
    const tokens = JSON.parse(await start("standin", "tokens", "--config",
      file("tokens.yaml", { tokens: { good: { sub: "store", plan: "open" } } })));
    const healthyServer = JSON.parse(await start("standin", "tariff", "--config", file("a.yaml", { default_work_ms: 2 })));
    const resettingServer = JSON.parse(await start("standin", "tariff", "--config", file("b.yaml", {
      default_work_ms: 2, faults: [{ kind: "reset_after_run" }] })));
    const gatewayConfig = (servers) => file(`g${servers.length}${servers[0].slice(-5)}.yaml`, {
      classes: [{ name: "quote", aim_ms: 500, deadline_ms: 2000, worth: 1, effect: "safe" },
        { name: "switch", aim_ms: 500, deadline_ms: 2000, worth: 3, effect: "unsafe" }],
      routes: [{ method: "GET", path: "/quotes/", class: "quote" }, { method: "POST", path: "/switches", class: "switch" }],
      plans: [{ name: "open", rate: 0, burst: 0 }], fleet: { static: servers.map((address) => ({ address })) },
      introspection: { url: `http://${tokens.address}/introspect`, client_id: "gateway", client_secret: "gateway-secret" } });
    const gatewayUrl = (await start("serve", gatewayConfig([healthyServer.address]))).replace("listening on ", "http://");
    const resettingGatewayUrl = (await start("serve", gatewayConfig([resettingServer.address])))
      .replace("listening on ", "http://");
    const client = new Client({ gateways: [gatewayUrl], token: "good", identity: "test" });
    for (let i = 0; i < 5; i++) {
      const quote = await client.call("GET", `/quotes/${i}`, { effect: "safe", deadlineMs: 2000 });
      assert.equal(quote.result.outcome, "served");
      const switched = await client.call("POST", "/switches", { effect: "unsafe", deadlineMs: 2000, body: "{}" });
      assert.equal(switched.result.outcome, "served");
    }
    assert.equal((await client.call("GET", "/nowhere", { effect: "safe", deadlineMs: 2000 })).result.outcome, "rejected");
    client.close();
    const resetClient = new Client({ gateways: [resettingGatewayUrl], token: "good", identity: "test" });
    const lost = await resetClient.call("POST", "/switches", { effect: "unsafe", deadlineMs: 2000, body: "{}" });
    assert.deepEqual([lost.result.outcome, lost.result.tries], ["unknown", 1]);
    resetClient.close();
    const unreachableClient = new Client({ gateways: ["http://127.0.0.1:1"], token: "good", spreadMs: 0 });
    const unreached = await unreachableClient.call("POST", "/switches", { effect: "unsafe", deadlineMs: 600, body: "{}" });
    assert.equal(unreached.result.outcome, "failed");
    unreachableClient.close();
  } finally {
    for (const child of children) child.removeAllListeners("exit").kill("SIGTERM");
  }
});
