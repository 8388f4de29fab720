/** Renders the page of all log events. */
import {GATEWAY_EVENTS, type EventDescription} from './gatewayEvents.js';

const HEAD = `# Log events of a gateway

Made from \`src/logging/gatewayEvents.ts\` by \`npm run docs:events\`; a test compares both.

One JSON line an event on standard output, at most so many a second; \`leftOut\` in a line is the number of lines of the same event
that were left out before it. Fields of every line: \`name\`, \`instanceId\` (the gateway), \`level\` (30 info, 40 warn, 50 error),
\`msg\` (the event), \`time\`. Times ending in \`Ms\` are milliseconds.

| event | level | a second | says | fields |
|---|---|---|---|---|
`;

/** Returns the text of docs/LOG-EVENTS.md. */
export function renderEventPage(): string {
  const rows = Object.entries<EventDescription>(GATEWAY_EVENTS).map(
    ([event, {level, maxPerSecond, meaning, fields}]) => {
      const names = fields.map(field => `\`${field}\``).join(', ');
      return `| \`${event}\` | ${level} | ${maxPerSecond} | ${meaning} | ${names} |`;
    },
  );
  return `${HEAD}${rows.join('\n')}\n`;
}
