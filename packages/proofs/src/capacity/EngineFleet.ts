import * as standins from '@jayhaven/standins';

/** Memory of each engine's accelerator, bytes. */
const acceleratorBytes = 80e9;

/** Size of the weights of a model, bytes; an engine of the fleet holds only one model of this size. */
export const modelBytes = 70e9;

/** Engine stand-ins that all run in this process, so that the number of processes does not grow with targets. */
export class EngineFleet implements AsyncDisposable {
  private constructor(private readonly _engines: readonly standins.Engine[]) {}

  /** Starts engines without loaded models. */
  public static async open(count: number, options: standins.EngineOptions = {}): Promise<EngineFleet> {
    const engines = Array.from({ length: count }, () =>
      standins.Engine.open({ accelerators: [acceleratorBytes], slots: 256, queueLimit: 1024, loadMs: 50, ...options }),
    );
    return new EngineFleet(await Promise.all(engines));
  }

  /** Ports of the engines. */
  public get ports(): readonly number[] {
    return this._engines.map(({ port }) => port);
  }

  /** Entries of the VM list. */
  public vmEntries(): readonly standins.VmEntry[] {
    return this._engines.map(({ port }, index) => ({
      targets: [`127.0.0.1:${port}`],
      labels: {
        vm: `engine-${index + 1}`,
        failure_domain: `fd-${'abc'[index % 3] ?? 'a'}`,
        state: 'live',
        role: 'engine',
        accelerators: String(acceleratorBytes),
        fencing: 'checked',
      },
    }));
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this._engines.map((engine) => engine[Symbol.asyncDispose]()));
  }
}
