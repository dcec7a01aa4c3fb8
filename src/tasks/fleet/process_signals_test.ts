import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { ProcessSignals } from "./process_signals.ts";

async function doTest(signals: readonly string[], expected: string) {
  const source = new EventEmitter();
  const receiver = new ProcessSignals(source);
  for (const signal of signals) source.emit(signal);
  expect(await receiver.stopped).toBe(expected);
  expect(receiver.stopSignal).toBe(expected);
}

test("names the signal that asks for the stop", async () => {
  await doTest(["SIGTERM"], "SIGTERM");
  await doTest(["SIGINT"], "SIGINT");
});

test("keeps the first of several signals", async () => {
  await doTest(["SIGINT", "SIGTERM", "SIGTERM"], "SIGINT");
});

test("does not stop on a reload or an ignored signal", async () => {
  await doTest(["SIGHUP", "SIGUSR2", "SIGTERM"], "SIGTERM");
});

test("has no stop signal before one came", () => {
  expect(new ProcessSignals(new EventEmitter()).stopSignal).toBeUndefined();
});

test("reloads on each signal, and once for those before the listener", () => {
  const source = new EventEmitter();
  const signals = new ProcessSignals(source);
  source.emit("SIGHUP");
  source.emit("SIGHUP");
  let reloads = 0;
  signals.onReload(() => reloads += 1);
  expect(reloads).toBe(1);
  source.emit("SIGHUP");
  expect(reloads).toBe(2);
});
