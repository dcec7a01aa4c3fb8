/** Writes the example settings and configurations of both deployments. */
import { mkdirSync, writeFileSync } from "node:fs";

interface Deployment {
  readonly folder: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly instances: number;
  readonly model: string;
  readonly service: string;
  readonly workspaces: readonly { id: string; weight: number }[];
  readonly staleness: { maxVersionsBehind: number; maxAgeMs?: number };
}

const CALLER_PORT = 7_100;
const PEER_PORT = 7_200;
const CONTROL_INSTANCES = 3;

const DEPLOYMENTS: readonly Deployment[] = [
  {
    folder: "examples/dierdienst",
    region: "nl-midden",
    dataCentres: ["nl-1", "nl-2", "nl-3", "nl-4"],
    instances: 8,
    model: "planner",
    service: "rota",
    workspaces: [
      { id: "artis", weight: 4 },
      { id: "blijdorp", weight: 4 },
      { id: "burgers", weight: 2 },
      { id: "beekse-bergen", weight: 2 },
      { id: "ouwehands", weight: 1 },
      { id: "gaia", weight: 1 },
      { id: "wildlands", weight: 1 },
      { id: "avifauna", weight: 1 },
    ],
    staleness: { maxVersionsBehind: 1 },
  },
  {
    folder: "examples/office",
    region: "qld-east",
    dataCentres: ["qld-1", "qld-2", "qld-3"],
    instances: 7,
    model: "reply",
    service: "helpline",
    workspaces: [
      { id: "brisbane", weight: 4 },
      { id: "gold-coast", weight: 3 },
      { id: "sunshine-coast", weight: 2 },
      { id: "cairns", weight: 1 },
      { id: "townsville", weight: 1 },
      { id: "toowoomba", weight: 1 },
      { id: "mackay", weight: 1 },
      { id: "rockhampton", weight: 1 },
    ],
    staleness: { maxVersionsBehind: 1, maxAgeMs: 120_000 },
  },
];

function createConfiguration(deployment: Deployment): unknown {
  const { dataCentres, workspaces, model, service, region } = deployment;
  const zones = dataCentres.flatMap((dataCentre) => [
    [`${dataCentre}-kept`, {
      dataCentre,
      region,
      lasting: true,
      pricePerHour: 4,
      checksFencing: true,
    }],
    [`${dataCentre}-cheap`, {
      dataCentre,
      region,
      lasting: false,
      pricePerHour: 1.5,
    }],
  ]);
  return {
    teams: {
      platform: { sections: ["zones", "capacity", "models"] },
      service: { sections: ["workspaces", "routes", "limits", "teams"] },
      training: { sections: ["staleness"] },
      billing: { sections: ["usage"] },
    },
    workspaces: Object.fromEntries(workspaces.map(({ id, weight }, i) => [
      id,
      { weight, home: dataCentres[i % dataCentres.length] },
    ])),
    routes: {
      [model]: {
        kind: "model",
        model,
        idempotent: true,
        timeoutMs: 120_000,
        firstTokenTimeoutMs: 5_000,
      },
      [service]: { kind: "service", idempotent: false, timeoutMs: 30_000 },
      notices: { kind: "service", open: true, idempotent: true },
    },
    models: { [model]: { maxSwapShare: 0.3, maxFetches: 4 } },
    zones: Object.fromEntries(zones),
    staleness: { [model]: deployment.staleness },
    limits: {
      default: { requestsPerSecond: 50, burst: 100, concurrency: 200 },
      workspaces: {},
    },
    capacity: { [model]: { minTargets: 2, maxTargets: 8 } },
    usage: { windowMs: 300_000, sealDelayMs: 10_000 },
  };
}

function createSettings(deployment: Deployment): Record<string, unknown>[] {
  const { dataCentres, instances } = deployment;
  const instanceList = Array.from({ length: instances }, (_, i) => {
    const dataCentre = dataCentres[i % dataCentres.length];
    const suffix = String.fromCharCode(97 + Math.floor(i / dataCentres.length));
    const host = `10.${1 + i % dataCentres.length}.0.${10 + i}`;
    return { id: `${dataCentre}-${suffix}`, dataCentre, host };
  });
  const peers = instanceList.map(({ id, dataCentre, host }, i) => ({
    id,
    dataCentre,
    address: { host, port: PEER_PORT },
    control: i < CONTROL_INSTANCES,
  }));
  return instanceList.map(({ id, dataCentre, host }, i) => ({
    $schema: "../../schemas/settings.json",
    id,
    dataCentre,
    listen: { host, port: CALLER_PORT },
    peerListen: { host, port: PEER_PORT },
    peers,
    ...(i < dataCentres.length ? { dataFolder: "/var/lib/nutmegreel" } : {}),
    peerSecretFile: "/etc/nutmegreel/peer.secret",
    operatorTokenFile: "/etc/nutmegreel/operator.token",
    targetTokenFile: "/etc/nutmegreel/target.token",
    targetCredentialFile: "/etc/nutmegreel/target.credential",
    bootstrap: { configurationFile: "/etc/nutmegreel/configuration.json" },
    metrics: { host: "127.0.0.1", port: 8_125 },
  }));
}

function writeJson(path: string, content: unknown): void {
  writeFileSync(path, JSON.stringify(content, null, 2) + "\n");
}

for (const deployment of DEPLOYMENTS) {
  mkdirSync(deployment.folder, { recursive: true });
  writeJson(
    `${deployment.folder}/configuration.json`,
    createConfiguration(deployment),
  );
  for (const settings of createSettings(deployment)) {
    writeJson(`${deployment.folder}/${settings.id}.json`, settings);
  }
}
