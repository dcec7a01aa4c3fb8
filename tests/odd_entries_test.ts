import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { formatReplicaId } from "../src/core/consensus/mod.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";
import { FLEET_LOG } from "../src/tasks/fleet/fleet_log_service.ts";
import { createReport } from "./support/target_report.ts";
import { sleep } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";
import { NESTED_VALUE, PeerWriter } from "./support/peer_writer.ts";

const { apps } = FLEET_NAMES;
/** Time in which all periodic tasks of the instances have run. */
const ROUNDS_MS = 1_500;
const CALLS = { durationMs: 500, intervalMs: 50 };
const OK_STATUS = 200;
const FAR_DEPTH = 100_000;
/** The stack holds the decoding of it, but not its encoding. */
const NEAR_DEPTH = 2_000;

/** Gets whether a line says that a replica of a log has started again. */
function isLogStopped(line: string): boolean {
  return line.includes(`"event":${EVENT_CATALOGUE.controlStopped.number},`);
}

describe("odd entries of another writer", () => {
  let fixture: FleetFixture;
  let writer: PeerWriter | undefined;

  beforeAll(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 1, entries: 1 });
  });

  afterEach(async () => {
    writer?.stop();
    writer = undefined;
    await fixture.retireTargets();
  });

  afterAll(() => fixture.stop());

  /** Expects that all processes run, and follow targets new and known. */
  async function doTest(writeEntries: () => Promise<void>): Promise<void> {
    const { fleet } = fixture;
    const processes = fleet.machines.map((machine) => machine.process);
    const known = fixture.createTarget({ service: apps });
    await known.start();
    await sleep(ROUNDS_MS);
    await writeEntries();
    await sleep(ROUNDS_MS);
    const added = fixture.createTarget({ service: apps });
    await added.start();
    await sleep(ROUNDS_MS);
    const ended = fleet.machines
      .filter((_, i) => processes[i]?.child.exitCode !== null)
      .map(({ name }) => name);
    expect(ended).toEqual([]);
    expect(fleet.logLines.filter(isLogStopped)).toEqual([]);
    await expectAnswers("both");
    await known.drain();
    await sleep(ROUNDS_MS);
    known.crash();
    await expectAnswers("added");
    expect(added.runs.length).toBeGreaterThan(0);
  }

  async function expectAnswers(name: string): Promise<void> {
    const responses = await fixture.sendCalls(`call-${name}`, CALLS);
    expect(responses.map(({ status }) => status))
      .toEqual(responses.map(() => OK_STATUS));
  }

  function sendReport(id: string, body: string): Promise<number[]> {
    return Promise.all(
      fixture.fleet.controlAddresses.map(async (address) => {
        const url = `http://${address}/-/Instances.Heartbeat/${id}`;
        return (await fetch(url, { method: "POST", body })).status;
      }),
    );
  }

  async function write(channel: string, body: unknown): Promise<void> {
    writer = await new PeerWriter(fixture.fleet, NEAR_DEPTH).start();
    writer.write(channel, body);
  }

  function writePresence(fields: unknown): Promise<void> {
    const sound = { ledger: "p", incarnation: "p", isDraining: false };
    return write("presence", { ...sound, member: fields });
  }

  const member = {
    name: "other",
    dataCentre: "a",
    role: "entry",
    policyRevision: 0,
    targetsSeen: {},
  };

  it("end no instance if a presence lacks fields", () =>
    doTest(() => writePresence({ role: "entry" })));

  it("end no instance if a presence has a number too large", () =>
    doTest(() => writePresence({ ...member, policyRevision: 2n ** 60n })));

  it("end no instance if a presence has a term too large", () =>
    doTest(() =>
      writePresence({ ...member, role: "ledger", leadsTerm: 2n ** 60n })
    ));

  it("end no instance if a presence is deeply nested", () =>
    doTest(() =>
      writePresence({ ...member, role: "ledger", name: NESTED_VALUE })
    ));

  it("end no instance if a roster names no address", () =>
    doTest(() =>
      write("notice", {
        type: "roster",
        members: [{ id: "bad id", role: "control" }, { id: 7 }, null],
        retiring: [],
        senders: [],
      })
    ));

  it("end no instance if a list of senders is deeply nested", () =>
    doTest(() =>
      write("notice", {
        type: "roster",
        members: [],
        retiring: [],
        senders: [NESTED_VALUE, 7],
      })
    ));

  it("stop no log if a message of one is malformed", () =>
    doTest(() => {
      const [control] = fixture.fleet.machinesWithRole(FleetRole.Control);
      const to = formatReplicaId(control.id, "first");
      const message = { to, from: "other", term: 1, type: "other" };
      return write("log", { log: FLEET_LOG, message });
    }));

  it("end no instance if a list of targets has some", () =>
    doTest(() => {
      const report = createReport({ service: apps });
      return write("notice", {
        type: "targets",
        isWhole: false,
        reports: [
          { ...report, id: "p1", dataCentre: NESTED_VALUE },
          { ...report, id: "p2", address: "10.1.2.3:99999" },
          { ...report, id: "p3", slots: 1e15 },
          { id: "p4" },
          null,
        ],
      });
    }));

  it("take no calls by reports that name no target", () =>
    doTest(async () => {
      const body = (fields: string) =>
        `{"service":"${apps}","zone":"a","slots":8,"state":"ready",` +
        `"seq":1,"born":${Date.now()},${fields}}`;
      const sound = '"address":"127.0.0.1:1"';
      const nested = `[${"[".repeat(FAR_DEPTH)}${"]".repeat(FAR_DEPTH)}]`;
      const bodies = [
        body('"address":"127.0.0.1:99999"'),
        body('"address":"127.0.0.999:80"'),
        body('"address":"127.0.0.1:0"'),
        body(`${sound},"slots":1e15`),
        body(`${sound},"seq":1e300`),
        body(`${sound},"born":9007199254740991`),
        body(`${sound},"coldLeftMs":1e300`),
        body(`${sound},"models":[{"name":"m0","version":9007199254740991}]`),
        body(`${sound},"other":${nested}`),
      ];
      const statuses = await Promise.all(
        bodies.map((text, i) => sendReport(`odd-${i}`, text)),
      );
      expect(statuses.flat()).toEqual(statuses.flat().map(() => 400));
    }));
});
