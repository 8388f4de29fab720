/** Generates the documentation page of all log events. */
import {GATEWAY_EVENTS, type EventDescription} from './gatewayEvents.js';

const PAGE_HEADER = `# Log events of a gateway

Generated from \`src/logging/gatewayEvents.ts\` by \`npm run docs:events\`; a test checks that both agree.

Each event is one line of JSON on standard output. The rate of each event is limited; \`leftOut\` in a line is the number of lines
of the same event that were omitted before it. Fields of every line: \`name\`, \`instanceId\` (the gateway), \`level\` (30 info,
40 warn, 50 error), \`msg\` (the event), \`time\`. Times ending in \`Ms\` are milliseconds.

| event | level | max. per second | meaning | fields |
|---|---|---|---|---|
`;

/** Returns the contents of docs/LOG-EVENTS.md. */
export function renderEventPage(): string {
  const rows = Object.entries<EventDescription>(GATEWAY_EVENTS).map(
    ([event, {level, maxPerSecond, meaning, fields}]) => {
      const names = fields.map(field => `\`${field}\``).join(', ');
      return `| \`${event}\` | ${level} | ${maxPerSecond} | ${meaning} | ${names} |`;
    },
  );
  return `${PAGE_HEADER}${rows.join('\n')}\n`;
}
