import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatTable } from '../output/table.js';
import { formatMemory } from '../output/values.js';
import * as responses from '../responses.js';

/** `jayhaven replicas`. */
export class ReplicasCommand extends BaseCommand {
  public static override summary = 'Show targets, memory, replicas, adapters and orders.';
  public static override examples = ['<%= config.bin %> replicas'];
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(ReplicasCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(await client.get('/v1/replicas', {}, responses.replicas));
    const targets = response.targets.map((target) => [
      target.target,
      target.vm,
      target.vmState,
      target.service ?? target.role,
      target.fencing,
      formatMemory(target.freeBytes),
      formatMemory(target.acceleratorBytes),
      String(target.replicas.length),
    ]);
    const targetHeaders = ['TARGET', 'VM', 'VM STATE', 'ROLE', 'FENCING', 'FREE', 'MEMORY', 'REPLICAS'];
    this.log(formatTable(targetHeaders, targets, 'No targets.'));
    const replicas = response.targets.flatMap((target) =>
      target.replicas.map((replica) => [
        String(replica.replica),
        `${replica.partner}/${replica.model}`,
        replica.version,
        target.target,
        replica.state,
        formatMemory(replica.bytes),
        replica.adapters
          .map(({ adapter, state }) => (state === 'ready' ? adapter : `${adapter} (${state})`))
          .join(', '),
      ]),
    );
    const replicaHeaders = ['REPLICA', 'MODEL', 'VERSION', 'TARGET', 'STATE', 'MEMORY', 'ADAPTERS'];
    this.log(`\n${formatTable(replicaHeaders, replicas, 'No replicas.')}`);
    this._listOrders(response.targets);
    return response;
  }

  private _listOrders(targets: Awaited<ReturnType<typeof responses.replicas.parse>>['targets']): void {
    const rows = targets.flatMap((target) =>
      target.orders.map((order) => [
        String(order.order),
        order.action,
        `${order.partner}/${order.model}`,
        target.target,
        order.senders.map((sender) => sender.incarnation).join(', '),
      ]),
    );
    const headers = ['UNSETTLED ORDER', 'ACTION', 'MODEL', 'TARGET', 'MAY STILL BE SENT BY'];
    this.log(`\n${formatTable(headers, rows, 'No unsettled orders.')}`);
  }
}
