// The state machine of one call: which gateway to try, how long to wait, and when to give up.
//
// It does no I/O and reads no clock, and random numbers come from the caller through `draw`. It decides as
// tamarindfold/client/core.py does, which the conformance vectors in ../vectors check.
import { createHash } from "node:crypto";

// After a refusal a call retries up to this much later than the gateway asks for, at random, and never earlier.
const REFUSAL_JITTER = 0.1; // of the requested wait
const MIN_REFUSAL_JITTER_MS = 25;
const MAX_RECONNECT_SHARE = 0.5; // of the time left: what a call gives at most to the staggering of reconnects
const EJECT_AFTER = 3; // consecutive failures
const EJECT_BASE_MS = 1000;
const EJECT_MAX_MS = 30000;
const MAX_WAIT_MS = 7 * 86400000; // longer waits are capped: they are invalid or a date in the far future
const DEFAULT_WAIT_MS = 1000; // for a refusal that does not state a wait
const MAX_DIGITS = 12; // longer numbers exceed MAX_WAIT_MS in any case

const HTTP_DATE = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun), \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

function parseCount(text, unitMs) {
  text = (text ?? "").trim();
  if (!/^[0-9]+$/.test(text)) return null;
  return text.length > MAX_DIGITS ? MAX_WAIT_MS : Math.min(MAX_WAIT_MS, Number(text) * unitMs);
}

/** How long a refusal asks the client to wait, in milliseconds. Header names are in lower case. */
export function waitMs(headers, wallMs) {
  const stated = parseCount(headers["tamarind-retry-after-ms"], 1) ?? parseCount(headers["retry-after"], 1000);
  if (stated !== null) return stated;
  const text = (headers["retry-after"] ?? "").trim();
  const date = HTTP_DATE.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(date) ? DEFAULT_WAIT_MS : Math.min(MAX_WAIT_MS, Math.max(0, date - wallMs));
}

/** Decorrelated jitter: uniform from baseMs to three times the last pause, at most maxMs. */
export function nextPause(lastMs, baseMs, maxMs, draw) {
  return Math.min(maxMs, baseMs + draw() * (Math.max(baseMs, lastMs * 3) - baseMs));
}

/** A stable position in [0, 1) for a client and a gateway, evenly distributed over clients. */
export function hashPosition(identity, gateway) {
  const digest = createHash("sha256").update(`${identity}\n${gateway}`).digest();
  return Number(digest.readBigUInt64BE(0) >> 11n) / 2 ** 53;
}

/**
 * When a client may reconnect to a gateway whose connection it lost.
 *
 * The first reconnect is delayed to the client's own position within spreadMs, so that the reconnects of all
 * clients are spread evenly. Each further failure adds a jittered pause.
 */
export class ReconnectSchedule {
  constructor(identity, spreadMs, baseMs, maxMs, draw) {
    Object.assign(this, { identity, spreadMs, baseMs, maxMs, draw, reconnectAt: new Map(), pauses: new Map() });
  }

  /** Records a lost or refused connection. Connections lost before the reconnect time count as the same failure. */
  connectionLost(now, gateway) {
    if ((this.reconnectAt.get(gateway) ?? 0) > now) return;
    let pause;
    if (!this.pauses.has(gateway)) {
      this.pauses.set(gateway, 0);
      pause = hashPosition(this.identity, gateway) * this.spreadMs;
    } else {
      pause = nextPause(this.pauses.get(gateway), this.baseMs, this.maxMs, this.draw);
      this.pauses.set(gateway, pause);
    }
    this.reconnectAt.set(gateway, now + pause);
  }

  /** The gateway is reachable again. */
  connected(gateway) {
    this.reconnectAt.delete(gateway);
    this.pauses.delete(gateway);
  }

  /** The earliest time to connect; 0: at any time. */
  notBefore(gateway) {
    return this.reconnectAt.get(gateway) ?? 0;
  }
}

/**
 * The gateways of one client: its own order of preference, with outlier ejection.
 *
 * The order is derived from the client's identity, which distributes clients evenly over the gateways.
 */
export class Gateways {
  constructor(names, identity, draw) {
    if (!names.length) throw new Error("at least one gateway is needed");
    const position = (name) => hashPosition(identity, `order ${name}`);
    this.order = [...new Set(names)].sort((a, b) => position(a) - position(b) || (a < b ? -1 : 1));
    this.health = new Map(this.order.map((name) => [name, { failures: 0, ejectedUntil: 0, pauseMs: 0, trial: false }]));
    this.draw = draw;
  }

  /** The gateway for a try: a healthy one not in `tried`, else a healthy one, else the one ejected for the least time. */
  choose(now, tried) {
    const available = (health) => health.failures < EJECT_AFTER || (now >= health.ejectedUntil && !health.trial);
    const healthy = this.order.filter((name) => available(this.health.get(name)));
    const untried = healthy.filter((name) => !tried.includes(name));
    const byEjectionEnd = () =>
      [...this.order].sort((a, b) => this.health.get(a).ejectedUntil - this.health.get(b).ejectedUntil);
    const chosen = untried[0] ?? healthy[0] ?? byEjectionEnd()[0];
    const health = this.health.get(chosen);
    if (health.failures >= EJECT_AFTER) health.trial = true; // only one call at a time probes an ejected gateway
    return chosen;
  }

  /** The gateway answered, with any status. */
  recordAnswer(name) {
    Object.assign(this.health.get(name), { failures: 0, pauseMs: 0, trial: false });
  }

  /** The try was not sent after all. */
  cancelTry(name) {
    this.health.get(name).trial = false;
  }

  /** The gateway could not be reached, closed the connection or did not answer in time. */
  recordFailure(now, name) {
    const health = this.health.get(name);
    health.failures += 1;
    health.trial = false;
    if (health.failures >= EJECT_AFTER) {
      health.pauseMs = nextPause(health.pauseMs, EJECT_BASE_MS, EJECT_MAX_MS, this.draw);
      health.ejectedUntil = now + health.pauseMs;
    }
  }
}

/** A limit on retries: each call earns a fraction of a retry, and the number of saved retries is limited. */
export class RetryBudget {
  constructor(retriesPerCall = 0.2, maxSaved = 10) {
    Object.assign(this, { retriesPerCall, maxSaved, saved: maxSaved });
  }

  /** Credits the start of a call. */
  earn() {
    this.saved = Math.min(this.maxSaved, this.saved + this.retriesPerCall);
  }

  /** Takes one retry from the budget; false if less than one is left. */
  spend() {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}

/**
 * One call from its first try to its end. At most one try is in flight.
 *
 * spec: the effect of the call ("safe", "keyed" or "unsafe"), deadlineMs, and for a keyed call windowMs: how long
 * servers drop repeats, counted from the first try. Hand `handle` each event with the current time and carry out
 * the action that it returns: "send", "wait" or "result". A try that can't be written within writeLeftMs of its "send"
 * is not sent: "too_late".
 */
export class Call {
  constructor(rules, spec, gateways, budget, reconnects, draw) {
    if (!["safe", "keyed", "unsafe"].includes(spec.effect))
      throw new Error(`effect ${spec.effect} is not safe, keyed or unsafe`);
    Object.assign(this, { rules, spec, gateways, budget, reconnects, draw });
    Object.assign(this, { tries: 0, tried: [], inFlight: "", mayHaveRun: false, firstSent: 0, pauseMs: 0 });
    Object.assign(this, { retry: false, renewed: false, freshToken: false, waitedToReconnect: false, result: null });
  }

  /** The first action. */
  start(now) {
    this.budget.earn();
    return this.#try(now);
  }

  /** The next action after an event. Throws if the event is not expected in this state. */
  handle(now, event) {
    if (this.result) return this.result;
    if (event.kind === "woke") {
      if (this.inFlight) throw new Error("woke while a try is in flight");
      return this.#try(now);
    }
    if (!this.inFlight) throw new Error("result of a try while none is in flight");
    const gateway = this.inFlight;
    this.inFlight = "";
    switch (event.kind) {
      case "answered":
        this.gateways.recordAnswer(gateway);
        this.reconnects.connected(gateway);
        return this.#answered(now, event);
      case "unreached":
        this.gateways.recordFailure(now, gateway);
        this.reconnects.connectionLost(now, gateway);
        return this.#retryOrEnd(now, "no gateway could be reached");
      case "no_token":
        this.gateways.cancelTry(gateway);
        return this.#retryOrEnd(now, "no token was to be had");
      case "too_late": // nothing was sent, which is not the gateway's fault
        this.gateways.cancelTry(gateway);
        return this.#retryOrEnd(now, "the try could not be written in time");
      default: // "broken": the connection was open, but no complete answer came
        this.gateways.recordFailure(now, gateway);
        this.reconnects.connectionLost(now, gateway);
        this.mayHaveRun = true;
        return this.#retryOrEnd(now, "the connection was lost, or no answer came in time");
    }
  }

  /** Ends the call because the client is closed; a try in flight may still run. */
  stop() {
    if (!this.result) {
      this.mayHaveRun ||= this.inFlight !== "";
      this.#end("failed", "the client was closed");
    }
    return this.result;
  }

  #answered(now, event) {
    const outcome = event.headers["tamarind-outcome"] ?? "", status = event.status;
    if (outcome === "served" || (!outcome && status < 400)) return this.#end("served", "");
    if (status === 401 && !this.renewed) {
      this.renewed = this.freshToken = true; // the request did not run: try once more with a new token
      if (this.tries >= this.rules.mostTries || now >= this.spec.deadlineMs)
        return this.#end("rejected", "the token was not accepted");
      return this.#try(now);
    }
    if (outcome === "rejected" || (!outcome && status >= 400 && status < 500 && status !== 408 && status !== 429))
      return this.#end("rejected", `status ${status}`);
    if (outcome === "refused" || (!outcome && status === 429))
      return this.#refused(now, waitMs(event.headers, event.wallMs));
    this.mayHaveRun = true; // failed, or an error status without an outcome of the gateway
    return this.#retryOrEnd(now, `status ${status}`);
  }

  /** Waits as long as requested plus jitter, or ends at once if that exceeds the deadline. */
  #refused(now, wait) {
    const retryAt = now + wait + this.draw() * Math.max(MIN_REFUSAL_JITTER_MS, REFUSAL_JITTER * wait);
    if (retryAt >= this.#sendDeadline())
      return this.#end("refused", "the wait that was told lies beyond the deadline", now + wait);
    if (this.tries >= this.rules.mostTries || !this.budget.spend())
      return this.#end("refused", "no more tries are left", now + wait);
    this.retry = true;
    this.tried.length = 0; // the refusal concerns the customer: the gateway itself is healthy
    return { kind: "wait", untilMs: retryAt };
  }

  /** Decides about a retry, by the call's effect and by whether a try may have run. */
  #retryOrEnd(now, reason) {
    if (this.spec.effect === "unsafe" && this.mayHaveRun) return this.#end("unknown", reason);
    this.pauseMs = nextPause(this.pauseMs, this.rules.pauseBaseMs, this.rules.pauseMostMs, this.draw);
    const retryAt = now + this.pauseMs;
    if (retryAt >= this.#sendDeadline() || this.tries >= this.rules.mostTries || !this.budget.spend())
      return this.#end("failed", reason);
    return { kind: "wait", untilMs: retryAt };
  }

  /**
   * Until when a try may be sent: a keyed call that may have run is repeated only while servers drop repeats of its
   * key. This is checked before each send, because any wait can outlast that window.
   */
  #sendDeadline() {
    const { effect, deadlineMs, windowMs } = this.spec;
    return effect === "keyed" && this.mayHaveRun ? Math.min(deadlineMs, this.firstSent + windowMs) : deadlineMs;
  }

  #try(now) {
    const left = this.#sendDeadline() - now;
    if (left <= 0) return this.#end("failed", "the deadline has passed");
    const gateway = this.gateways.choose(now, this.tried), reconnectAt = this.reconnects.notBefore(gateway);
    if (reconnectAt > now && !this.waitedToReconnect) { // other clients lost it too: take turns
      this.waitedToReconnect = true;
      return { kind: "wait", untilMs: Math.min(reconnectAt, now + left * MAX_RECONNECT_SHARE) };
    }
    this.waitedToReconnect = false;
    if (!this.tries) this.firstSent = now;
    const send = { kind: "send", gateway, number: this.tries, retry: this.retry, timeLeftMs: this.spec.deadlineMs - now,
      freshToken: this.freshToken, effect: this.spec.effect, writeLeftMs: left };
    this.tries += 1;
    this.freshToken = false;
    this.inFlight = gateway;
    this.tried.push(gateway);
    return send;
  }

  /** Ends the call. If an earlier try of a call that is not safe may have run, the outcome is unknown. */
  #end(outcome, reason, againMs = 0) {
    if (outcome !== "served" && this.mayHaveRun && this.spec.effect !== "safe") outcome = "unknown";
    this.result = { kind: "result", outcome, reason, tries: this.tries, againMs };
    return this.result;
  }
}

// The names under which "tamarindfold-client/core" exported these before.
export { RetryBudget as Budget, ReconnectSchedule as Reconnects, hashPosition as place };
