// The conformance vectors: every action must equal the one that the Python core recorded.
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import test from "node:test";
import { Call, Gateways, ReconnectSchedule, RetryBudget, waitMs } from "../core.mjs";

const load = (name) => JSON.parse(readFileSync(new URL(`../../vectors/${name}.json`, import.meta.url)));

test("waitMs reads the headers of refusals as the vectors state", () => {
  for (const { headers, wall_ms, wait_ms } of load("waits")) assert.equal(waitMs(headers, wall_ms), wait_ms);
});

const toSnakeCase = (action) => Object.fromEntries(Object.entries(action).map(
  ([name, value]) => [name.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`), value]));

// Numbers may differ in the third decimal: the vectors are rounded, and languages round differently.
function assertSameAction(found, wanted, where) {
  assert.deepEqual(Object.keys(found).sort(), Object.keys(wanted).sort(), where);
  for (const [name, value] of Object.entries(wanted)) {
    if (typeof value === "number")
      assert.ok(Math.abs(found[name] - value) < 0.002, `${where} ${name}: ${found[name]}, not ${value}`);
    else assert.deepEqual(found[name], value, `${where} ${name}`);
  }
}

test("calls take the same actions as in the vectors", () => {
  let steps = 0;
  load("calls").forEach(({ settings: s, draws, calls }, vector) => {
    let position = 0;
    const draw = () => draws[position++];
    const gateways = new Gateways(s.gateways, s.identity, draw);
    const budget = new RetryBudget(s.budget_part, s.budget_most);
    const reconnects = new ReconnectSchedule(s.identity, s.spread_ms, s.reconnect_base_ms, s.reconnect_most_ms, draw);
    const rules = { mostTries: s.most_tries, pauseBaseMs: s.pause_base_ms, pauseMostMs: s.pause_most_ms };
    calls.forEach(({ ask, steps: script }, number) => {
      const call = new Call(rules, { effect: ask.effect, deadlineMs: ask.deadline_ms, windowMs: ask.window_ms },
        gateways, budget, reconnects, draw);
      script.forEach(({ now, event, action }, step) => {
        const found = event === null ? call.start(now) : call.handle(now, { ...event, wallMs: event.wall_ms });
        assertSameAction(toSnakeCase(found), action, `vector ${vector}, call ${number}, step ${step}`);
        steps += 1;
      });
    });
    assert.equal(position, draws.length);
  });
  assert.ok(steps > 1000);
});
