import { describe, expect, it } from "vitest";
import { usedBytes } from "../../tests/support/garbage_collection.ts";
import { BodyReader, ResponseTooLargeError } from "./response_limits.ts";

describe(BodyReader.name, () => {
  async function* createBody(
    parts: number,
    partBytes: number,
  ): AsyncGenerator<Uint8Array> {
    for (let i = 0; i < parts; i += 1) {
      await Promise.resolve();
      yield Buffer.alloc(partBytes);
    }
  }

  it("reads a body to its end", async () => {
    const reader = new BodyReader(1_000);
    expect(await reader.read(createBody(10, 100))).toHaveLength(1_000);
    expect(await reader.read(createBody(10, 100))).toHaveLength(1_000);
  });

  it("takes little more memory than a body, however small its parts", async () => {
    const bytes = 1_000_000;
    let usedByBody = 0;
    async function* createMeasured(): AsyncGenerator<Uint8Array> {
      const before = usedBytes();
      yield* createBody(bytes, 1);
      usedByBody = usedBytes() - before;
    }
    await new BodyReader(bytes).read(createMeasured());
    expect(usedByBody).toBeLessThan(8 * bytes);
  });

  it("ends a body without end", async () => {
    const reader = new BodyReader(1_000);
    await expect(reader.read(createBody(Infinity, 100)))
      .rejects.toThrow(ResponseTooLargeError);
    expect(await reader.read(createBody(10, 100))).toHaveLength(1_000);
  });
});
