// The client on node:http. Each call has at most one try in flight; unsafe tries do not reuse connections.
import http from "node:http";
import { randomBytes } from "node:crypto";
import { hostname } from "node:os";
import { Call, Gateways, ReconnectSchedule, RetryBudget } from "./core.mjs";

export { Call } from "./core.mjs";

const now = () => performance.now();
const CONNECT_SHARE = 0.5; // of the time left: the limit for connecting, so that another gateway can be tried

/**
 * A client of the gateways, which are given as base URLs. token: a fixed token, or an async function
 * (fresh) => token, where fresh asks for a new one because the last was not accepted.
 */
export class Client {
  constructor({ gateways, token, identity = hostname(), spreadMs = 5000, mostTries = 4, connections = 20 }) {
    const draw = Math.random;
    this.gateways = new Gateways(gateways.map((url) => url.replace(/\/$/, "")), identity, draw);
    this.reconnects = new ReconnectSchedule(identity, spreadMs, 200, 30000, draw);
    this.budget = new RetryBudget();
    this.rules = { mostTries, pauseBaseMs: 50, pauseMostMs: 2000 };
    this.token = typeof token === "function" ? token : async () => token;
    this.keepAliveAgent = new http.Agent({ keepAlive: true, maxSockets: connections, timeout: 30000 });
    this.singleUseAgent = new http.Agent({ keepAlive: false, maxSockets: connections });
    this.prefix = randomBytes(6).toString("hex");
    this.callCount = 0;
    this.closing = new AbortController();
  }

  /** Sends no more tries; calls that wait end at once. */
  close() {
    this.closing.abort();
    this.keepAliveAgent.destroy();
    this.singleUseAgent.destroy();
  }

  /** Makes one call; resolves to { result, status, headers, body } when it has ended. */
  async call(method, path, { effect, deadlineMs, body = "", key = "", windowMs = 0, units, headers = {} }) {
    if (effect === "keyed" && !key) throw new Error("a keyed call needs a key");
    const name = `${this.prefix}-${++this.callCount}`;
    const spec = { effect, deadlineMs: now() + deadlineMs, windowMs };
    const call = new Call(this.rules, spec, this.gateways, this.budget, this.reconnects, Math.random);
    let action = call.start(now()), reply = { status: 0, headers: {}, body: Buffer.alloc(0) };
    while (action.kind !== "result") {
      if (this.closing.signal.aborted) {
        action = call.stop();
        break;
      }
      let event = { kind: "woke" };
      if (action.kind === "wait") await this.#pause(action.untilMs - now());
      else [event, reply] = await this.#try(action, { name, method, path, body, key, units, headers });
      action = call.handle(now(), event);
    }
    return { result: action, ...reply };
  }

  #pause(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, ms));
      this.closing.signal.addEventListener("abort", () => { clearTimeout(timer); resolve(); }, { once: true });
    });
  }

  /** Sends one try; resolves to its event and its reply. */
  async #try(send, { name, method, path, body, key, units, headers }) {
    const noAnswer = { status: 0, headers: {}, body: Buffer.alloc(0) }, startedAt = now();
    let token;
    try {
      token = await this.token(send.freshToken);
    } catch {
      return [{ kind: "no_token" }, noAnswer];
    }
    const left = send.timeLeftMs - (now() - startedAt);
    if (left <= 0) return [{ kind: "no_token" }, noAnswer];
    const writeLeft = send.writeLeftMs - (now() - startedAt);
    if (writeLeft <= 0) return [{ kind: "too_late" }, noAnswer];
    const ownHeaders = { authorization: `Bearer ${token}`, "tamarind-request": `${name}.${send.number}`,
      "tamarind-time-left": String(Math.max(1, Math.floor(left))), "content-length": Buffer.byteLength(body) };
    if (units !== undefined) ownHeaders["tamarind-units"] = String(units);
    if (send.retry) ownHeaders["tamarind-retry"] = "1";
    if (key) ownHeaders["idempotency-key"] = key;
    return new Promise((resolve) => {
      let connected = false, done = false;
      const end = (event, reply = noAnswer) => {
        if (done) return;
        done = true;
        clearTimeout(deadlineTimer);
        clearTimeout(connectTimer);
        request.destroy();
        resolve([event, reply]);
      };
      // If the gateway closes an idle connection just as a request is sent on it, it is unknown whether the request
      // ran. Therefore an unsafe try opens a connection of its own.
      const request = http.request(send.gateway + path, { method, headers: { ...headers, ...ownHeaders },
        agent: send.effect === "unsafe" ? this.singleUseAgent : this.keepAliveAgent });
      const fail = () => end({ kind: connected ? "broken" : "unreached" });
      const deadlineTimer = setTimeout(fail, left);
      // The request is written as soon as the connection is open: a connection that is late must not open any more.
      const cutShort = writeLeft < left * CONNECT_SHARE;
      const connectTimer = setTimeout(() => connected || end({ kind: cutShort ? "too_late" : "unreached" }),
        cutShort ? writeLeft : left * CONNECT_SHARE);
      request.on("socket", (socket) => {
        if (!socket.connecting) connected = true; // a reused connection: the request is written at once
        else socket.once("connect", () => { connected = true; });
      });
      request.on("error", fail);
      request.on("response", (answer) => {
        const chunks = [];
        answer.on("data", (chunk) => chunks.push(chunk));
        answer.on("error", fail);
        answer.on("aborted", fail);
        answer.on("end", () => {
          if (!answer.complete) return fail();
          done = true; // without destroying the request, so that its connection can be reused
          clearTimeout(deadlineTimer);
          clearTimeout(connectTimer);
          const event = { kind: "answered", status: answer.statusCode, headers: answer.headers, wallMs: Date.now() };
          resolve([event, { status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks) }]);
        });
      });
      request.end(body);
    });
  }
}
