/** State charts of replicas, orders and daemons, read from JSON and run with xstate's pure transition function. */
import { createRequire } from 'node:module';
import * as xstate from 'xstate';

// An import of a JSON module prints an experimental warning on Node.js 20.
const requireJson = createRequire(import.meta.url);

/** A state chart: decides whether an event is allowed in a state, and what the next state is. */
export class Lifecycle {
  private readonly _machine: xstate.AnyStateMachine;
  private readonly _nextStates = new Map<string, string | undefined>();

  public constructor(chartPath: string) {
    this._machine = xstate.createMachine(requireJson(chartPath) as Parameters<typeof xstate.createMachine>[0]);
  }

  /** State after the event, or undefined if the state does not allow the event. */
  public next(state: string, event: string): string | undefined {
    // A transition takes about 18 µs. The charts are constant, so each result is computed once and cached.
    const cacheKey = `${state} ${event}`;
    if (!this._nextStates.has(cacheKey)) {
      this._nextStates.set(cacheKey, this._computeNext(state, event));
    }
    return this._nextStates.get(cacheKey);
  }

  private _computeNext(state: string, event: string): string | undefined {
    const current = this._machine.resolveState({ value: state, context: {} }) as xstate.AnyMachineSnapshot;
    if (!current.can({ type: event })) {
      return undefined;
    }
    const [nextState] = xstate.transition(this._machine, current, { type: event });
    return (nextState as xstate.AnyMachineSnapshot).value as string;
  }
}

/** Life cycle of a replica and of an adapter in a replica. */
export const replicaLifecycle = new Lifecycle('./replicaLifecycle.json');
/** Life cycle of an order: unsettled while some incarnation may still send it. */
export const orderLifecycle = new Lifecycle('./orderLifecycle.json');
/** Life cycle of an incarnation of a daemon. */
export const daemonLifecycle = new Lifecycle('./daemonLifecycle.json');
