/** Tests that `--deadline` accepts durations and timestamps, and rejects deadlines that have passed. */
import t from 'tap';
import {parseDeadline} from '../../src/operator/index.js';

const NOW_MS = Date.parse('2026-12-04T06:00:00Z');

t.test('parseDeadline', t => {
  t.equal(parseDeadline('45m', NOW_MS), NOW_MS + 45 * 60_000);
  t.equal(parseDeadline('1.5h', NOW_MS), NOW_MS + 90 * 60_000);
  t.equal(parseDeadline('2026-12-04T07:00Z', NOW_MS), NOW_MS + 3_600_000);
  t.throws(() => parseDeadline('2026-12-04T05:00Z', NOW_MS), {
    message: '--deadline (BUCKTHORN_DEADLINE): "2026-12-04T05:00Z" has passed',
  });
  t.throws(() => parseDeadline('soon', NOW_MS), {
    message: /"soon" is neither a duration such as 45m/,
  });
  t.end();
});
