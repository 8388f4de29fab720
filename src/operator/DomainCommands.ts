/** `buckthornctl domain`: takes failure domains out of service, returns them to service and shows their states. */
import {subcommands} from 'cmd-ts';
import type {FailureDomainState, FailureDomainStatus} from '../blackboard/index.js';
import type {FailureDomain} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import type {RunnableCommand} from '../settings/index.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, withFleetStream, type OperatorContext} from './OperatorContext.js';
import {JSON_FLAG, LOG_SETTINGS, OPERATOR_SETTING, type LogSettings} from './OperatorSettings.js';
import {formatTimestamp, formatTable} from './formatTable.js';

interface OrderCommandOptions {
  readonly name: string;
  readonly description: string;
  /** State that the order sets. */
  readonly state: FailureDomainState;
  /** Completes the line "accepted at offset N: DOMAIN ...". */
  readonly effect: string;
}

/** Builds the `domain` commands: `out`, `return` and `status`. */
export function createDomainCommands(context: OperatorContext): RunnableCommand {
  return subcommands({
    name: 'domain',
    description: 'Takes failure domains out of service and returns them to service',
    cmds: {
      out: createOrderCommand(context, {
        name: 'out',
        description:
          'Takes a failure domain out of service; it gets no new requests after a few seconds',
        state: 'out',
        effect: 'gets no new work after a few seconds; requests that run there finish or are moved',
      }),
      return: createOrderCommand(context, {
        name: 'return',
        description: 'Returns a failure domain to service; its backend servers warm up first',
        state: 'returning',
        effect: 'gets new requests again as its backend servers warm up',
      }),
      status: createStatusCommand(context),
    },
  }) as unknown as RunnableCommand;
}

function createOrderCommand(
  context: OperatorContext,
  {name, description, state, effect}: OrderCommandOptions,
): RunnableCommand {
  return createOperatorCommand({
    name,
    description,
    settings: {...LOG_SETTINGS, operator: OPERATOR_SETTING},
    flags: {},
    commandArguments: {failureDomain: 'Name of the failure domain'},
    run: async settings => {
      const {failureDomain} = settings.commandArguments;
      const domains = await readFailureDomains(settings, context);
      if (!domains.some(domain => domain.name === failureDomain)) {
        const configuredNames = domains.map(domain => domain.name).join(', ');
        throw new ServingError(
          `"${failureDomain}" is not among the configured failure domains (${configuredNames || 'none'})`,
          {kind: 'invalid-settings'},
        );
      }
      await withFleetStream(settings, context, async stream => {
        const offset = await stream.orderFailureDomain(
          failureDomain,
          state,
          settings.operator,
          context.getNowMs(),
        );
        context.writeLine(`accepted at offset ${offset}: ${failureDomain} ${effect}`);
      });
    },
  });
}

function createStatusCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'status',
    description: 'Shows which failure domains are in service',
    settings: LOG_SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {},
    run: async settings => {
      const domains = await readFailureDomains(settings, context);
      await withFleetStream(settings, context, async stream => {
        const statuses = stream.getFailureDomains();
        const domainsWithStatus = domains.map(domain => ({
          ...domain,
          ...findStatus(statuses, domain.name),
        }));
        if (settings.json) {
          context.writeLine(JSON.stringify(domainsWithStatus, undefined, 2));
          return;
        }
        const rows = domainsWithStatus.map(({name, region, state, changedAtMs}) => [
          name,
          region,
          state,
          changedAtMs === 0 ? '-' : formatTimestamp(changedAtMs),
        ]);
        formatTable(['FAILURE DOMAIN', 'REGION', 'STATE', 'SINCE'], rows).forEach(
          context.writeLine,
        );
      });
    },
  });
}

/** A failure domain that never had an order is in service, at revision 0. */
function findStatus(statuses: readonly FailureDomainStatus[], name: string): FailureDomainStatus {
  const found = statuses.find(status => status.name === name);
  return found ?? {name, state: 'in', revision: 0, changedAtMs: 0};
}

async function readFailureDomains(
  settings: LogSettings,
  context: OperatorContext,
): Promise<readonly FailureDomain[]> {
  const {configuration} = await withConfigurationStream(settings, context, async stream =>
    stream.getInForce(),
  );
  return configuration?.failureDomains ?? [];
}
