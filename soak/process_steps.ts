/** Steps of a simulated process, which pauses, crashes and waits for writes. */
import type { Scheduler } from "../sim/scheduler.ts";

/** Options of {@link ProcessSteps}. */
export interface ProcessStepsOptions<E> {
  /** Scheduler of virtual time. */
  readonly scheduler: Scheduler;
  /** Takes the effects that the steps so far have queued. */
  readonly takeEffects: () => readonly E[];
  readonly runEffect: (effect: E) => void;
  /** Called when a step throws. */
  readonly onError: (err: unknown) => void;
}

/**
 * Runs the steps of a process and their effects in order. Effects wait for the
 * write before them, steps for the end of a pause; a crash drops both.
 */
export class ProcessSteps<E> {
  readonly #options: ProcessStepsOptions<E>;
  /** Incremented at each start and crash; older scheduled work is dropped. */
  #generation = 0;
  #isRunning = false;
  #isPaused = false;
  #isWriting = false;
  #effects: E[] = [];
  /** Steps that arrived during a pause. */
  #deferred: (() => void)[] = [];

  /** Creates the steps of a process that does not run yet. */
  constructor(options: ProcessStepsOptions<E>) {
    this.#options = options;
  }

  /** Gets whether the process runs, paused or not. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Gets whether it is running and not paused. */
  get isActive(): boolean {
    return this.#isRunning && !this.#isPaused;
  }

  /** Starts the process. */
  start(): this {
    this.#generation += 1;
    this.#isRunning = true;
    return this;
  }

  /** Crashes the process; writes that are not synced are lost. */
  crash(): this {
    this.#generation += 1;
    this.#isRunning = false;
    this.#isPaused = false;
    this.#isWriting = false;
    this.#effects = [];
    this.#deferred = [];
    return this;
  }

  /** Pauses the process as SIGSTOP does. */
  pause(): this {
    this.#isPaused = true;
    return this;
  }

  /**
   * Resumes a paused process and runs its deferred steps.
   * @param onResumed - Called before the deferred steps.
   */
  resume(onResumed: () => void = () => {}): this {
    if (!this.#isPaused) return this;
    this.#isPaused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    onResumed();
    for (const run of deferred) run();
    this.#runEffects();
    return this;
  }

  /** Runs a step, or defers it until the end of a pause. */
  run(step: () => void): this {
    if (!this.#isRunning) return this;
    if (this.#isPaused) {
      this.#deferred.push(this.#untilCrash(() => void this.run(step)));
      return this;
    }
    try {
      step();
    } catch (err) {
      this.#options.onError(err);
    }
    this.#runEffects();
    return this;
  }

  /** Runs a step at an interval until the next crash, except during pauses. */
  repeat(intervalMs: number, step: () => void): this {
    const next = this.#untilCrash(() => {
      if (!this.#isPaused) this.run(step);
      this.#options.scheduler.after(intervalMs, next);
    });
    this.#options.scheduler.after(intervalMs, next);
    return this;
  }

  /**
   * Delays all further effects until a write is stored.
   * @param options - Duration of the write, and the step that follows it.
   */
  write(
    store: () => void,
    { ms, onWritten }: { readonly ms: number; readonly onWritten: () => void },
  ): this {
    this.#isWriting = true;
    const onEnd = this.#untilCrash(() => {
      this.#isWriting = false;
      store();
      this.run(onWritten);
    });
    this.#options.scheduler.after(ms, onEnd);
    return this;
  }

  #untilCrash(run: () => void): () => void {
    const generation = this.#generation;
    return () => {
      if (generation === this.#generation) run();
    };
  }

  #runEffects(): void {
    this.#effects.push(...this.#options.takeEffects());
    while (!this.#isWriting && !this.#isPaused) {
      const effect = this.#effects.shift();
      if (effect === undefined) return;
      this.#options.runEffect(effect);
    }
  }
}
