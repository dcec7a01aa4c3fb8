/** TLS certificates for callers and for peers, over real connections. */
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { connect } from "node:tls";
import { afterEach, describe, expect, it } from "vitest";
import { WebSocket } from "ws";
import { TestCluster } from "./support/cluster.ts";
import { Deployment } from "./support/deployment.ts";

function createCertificate(folder: string, name: string): void {
  execFileSync("openssl", [
    "req",
    "-x509",
    "-newkey",
    "ec",
    "-pkeyopt",
    "ec_paramgen_curve:prime256v1",
    "-nodes",
    "-days",
    "2",
    "-subj",
    `/CN=${name}`,
    "-keyout",
    join(folder, `${name}.key`),
    "-out",
    join(folder, `${name}.crt`),
  ], { stdio: "ignore" });
}

function readSubject(url: string): Promise<string | undefined> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({
      host: hostname,
      port: Number(port),
      rejectUnauthorized: false,
    }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.on("error", () => resolve(undefined));
  });
}

describe("TLS", () => {
  let deployment: Deployment | undefined;
  let cluster: TestCluster | undefined;
  afterEach(async () => {
    await cluster?.stop();
    await deployment?.stop();
  });

  it("reloads certificates for callers, and keeps the last valid one", async () => {
    deployment = new Deployment();
    const { folder } = deployment;
    createCertificate(folder, "first");
    createCertificate(folder, "second");
    const installCertificate = (name: string) => {
      copyFileSync(join(folder, `${name}.key`), join(folder, "used.key"));
      copyFileSync(join(folder, `${name}.crt`), join(folder, "used.crt"));
    };
    installCertificate("first");
    const instance = await deployment.startInstance({
      tls: {
        callers: {
          certFile: join(folder, "used.crt"),
          keyFile: join(folder, "used.key"),
        },
      },
    });
    expect(await readSubject(instance.url)).toBe("first");
    copyFileSync(join(folder, "operator.token"), join(folder, "used.crt"));
    await instance.waitForLine((line) => JSON.parse(line).event === 1007);
    expect(await readSubject(instance.url)).toBe("first");
    installCertificate("second");
    await instance.waitForLine((line) => JSON.parse(line).event === 1006);
    expect(await readSubject(instance.url)).toBe("second");
  });

  it("connects peers with certificates and refuses strangers", async () => {
    deployment = new Deployment();
    const { folder } = deployment;
    createCertificate(folder, "peers");
    createCertificate(folder, "stranger");
    const certFile = join(folder, "peers.crt");
    const keyFile = join(folder, "peers.key");
    cluster = await TestCluster.start({
      members: ["a", "b", "c"].map((id) => ({
        id,
        dataCentre: "nl-1",
        control: true,
      })),
      hasRelays: false,
      settings: { tls: { peers: { certFile, keyFile, caFile: certFile } } },
    });
    const leader = await cluster.leader();
    const { log } = await cluster.status(leader);
    expect(log?.members.voters).toHaveLength(3);
    const file = (name: string) => readFileSync(join(folder, name));
    const stranger = new WebSocket(
      `wss://${cluster.peerAddressOf("a")}/peer`,
      {
        cert: file("stranger.crt"),
        key: file("stranger.key"),
        ca: file("peers.crt"),
        checkServerIdentity: (() => undefined) as unknown as () => boolean,
      },
    );
    const outcome = await new Promise<string>((resolve) => {
      stranger.on("error", () => resolve("refused"));
      stranger.on("close", () => resolve("refused"));
      stranger.on("message", () => resolve("answered"));
      stranger.on(
        "open",
        () => stranger.send(JSON.stringify({ id: "b", nonce: "0" })),
      );
    });
    expect(outcome).toBe("refused");
  });
});
