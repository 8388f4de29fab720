/** Tests of `buckthornctl explain` with log files: output, progress and error messages. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {run} from 'cmd-ts';
import t from 'tap';
import {createExplainCommand} from '../../src/operator/index.js';

const LINE = JSON.stringify({
  instanceId: 'g1',
  request: 'r1',
  outcome: 'refused',
  refusal: 'no-server',
  msg: 'request',
  time: '2026-01-01T12:00:00.000Z',
});

async function explain(commandLine: readonly string[]) {
  const written: string[] = [];
  const progress: string[] = [];
  const command = createExplainCommand({
    getNowMs: () => 0,
    ask: async () => undefined,
    writeLine: text => written.push(text),
    writeProgress: text => progress.push(text),
  });
  await run(command as unknown as Parameters<typeof run>[0], [...commandLine]);
  return {written, progress};
}

t.test('buckthornctl explain', t => {
  const folder = mkdtempSync(join(tmpdir(), 'explain-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  const path = join(folder, 'g1.log');
  writeFileSync(path, `${LINE}\nnot a log line\n${LINE.slice(0, 40)}`);

  t.test('prints the history of a request and the number of unreadable lines', async t => {
    const {written, progress} = await explain(['r1', path]);
    t.match(written[0], /g1 request: outcome=refused refusal=no-server/);
    t.same(progress, ['2 lines are no log lines and were left out']);
  });
  t.test('groups all failures with --summary', async t => {
    const {written} = await explain(['--summary', path]);
    t.match(written[0], /^1 refused: no-server; 1 gateways/);
  });
  for (const [name, commandLine, message] of [
    ['no file', ['r1'], /needs an id and log files/],
    ['a missing file', ['r1', join(folder, 'none')], /can't read log/],
    ['an unknown id', ['r2', path], /no log names request r2/],
  ] as const) {
    t.test(`${name} is reported in a one-line error`, async t => {
      await t.rejects(explain(commandLine), {message});
    });
  }
  t.end();
});
