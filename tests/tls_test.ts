/** Certificates of callers and of peers over real connections. */
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { join } from "node:path";
import { connect } from "node:tls";
import { afterEach, describe, expect, it } from "vitest";
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

function subjectAt(url: string): Promise<string | undefined> {
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
  afterEach(async () => {
    await deployment?.stop();
  });

  it("reads changed certificates of callers, and keeps to the former", async () => {
    deployment = new Deployment();
    const { folder } = deployment;
    createCertificate(folder, "first");
    createCertificate(folder, "second");
    const use = (name: string) => {
      copyFileSync(join(folder, `${name}.key`), join(folder, "used.key"));
      copyFileSync(join(folder, `${name}.crt`), join(folder, "used.crt"));
    };
    use("first");
    const instance = await deployment.startInstance({
      tls: {
        callers: {
          certFile: join(folder, "used.crt"),
          keyFile: join(folder, "used.key"),
        },
      },
    });
    expect(await subjectAt(instance.url)).toBe("first");
    copyFileSync(join(folder, "operator.token"), join(folder, "used.crt"));
    await instance.waitForLine((line) => JSON.parse(line).event === 1007);
    expect(await subjectAt(instance.url)).toBe("first");
    use("second");
    await instance.waitForLine((line) => JSON.parse(line).event === 1006);
    expect(await subjectAt(instance.url)).toBe("second");
  });
});
