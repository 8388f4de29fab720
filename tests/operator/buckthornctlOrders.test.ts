/** Tests of `buckthornctl` as a process: moves, failure domains, instances and events. */
import {ANSWERS, testClient} from '../support/ClientHarness.js';

testClient('buckthornctl, with a configuration in force', [
  {
    name: 'publishes a configuration',
    run: {args: ['questionnaire', ...ANSWERS, '--publish'], input: 'yes\n'},
    exitCode: 0,
    expected: /in force on 1 of 1 entries/,
  },
  {
    name: 'starts a move from the version in force',
    run: {args: ['move', 'start', 'guidance', '--to', 'v2', '--deadline', '45m']},
    exitCode: 0,
    expected: /moves guidance from v1 to v2 within 45 min/,
  },
  {
    name: 'rejects a second move of a service',
    run: {args: ['move', 'start', 'guidance', '--to', 'v3', '--deadline', '45m']},
    exitCode: 1,
    expected: /another move of the service is under way/,
  },
  {
    name: 'aborts a move',
    run: {args: ['move', 'abort', 'guidance']},
    exitCode: 0,
    expected: /aborted at offset/,
  },
  {
    name: 'exits with 1 when waiting for an aborted move',
    run: {args: ['move', 'wait', 'guidance']},
    exitCode: 1,
    expected: /aborted by kari/,
  },
  {
    name: 'takes a failure domain out of service',
    run: {args: ['domain', 'out', 'ostlandet-b']},
    exitCode: 0,
    expected: /ostlandet-b gets no new work/,
  },
  {
    name: 'shows the state of failure domains',
    run: {args: ['domain', 'status']},
    exitCode: 0,
    expected: /ostlandet-b .* out /,
  },
  {
    name: 'names the configured failure domains when a name is unknown',
    run: {args: ['domain', 'out', 'bergen']},
    exitCode: 2,
    expected: /"bergen" is not among .*ostlandet-a, ostlandet-b/,
  },
  {
    name: 'lists instances',
    run: {args: ['instances']},
    exitCode: 0,
    expected: /entry-1 +entry +127/,
  },
  {
    name: 'lists events',
    run: {args: ['events']},
    exitCode: 0,
    expected: /configuration over revision 0 by kari[\s\S]*ostlandet-b out by kari/,
  },
]);
