/** Tests of detecting changes of the settings file. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t from 'tap';
import type {PlatformSettings} from '../../platform/settingsFile.js';
import {SettingsWatch} from '../../platform/SettingsWatch.js';
import {SETTINGS} from './platformFixtures.js';

function createWatch(t: Tap) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  const path = join(folder, 'local.json');
  const write = (text: string) => writeFileSync(path, text);
  write(JSON.stringify(SETTINGS));
  const changes: PlatformSettings[] = [];
  const logged: string[] = [];
  const watch = new SettingsWatch({
    path,
    startedAtMs: 5,
    events: {log: event => void logged.push(event)},
    onChange: settings => changes.push(settings),
  });
  return {watch, write, changes, logged};
}

type Tap = Pick<typeof t, 'teardown'>;

t.test('SettingsWatch', t => {
  t.test('reports a changed file once', t => {
    const {watch, write, changes} = createWatch(t);
    watch.reloadIfChanged();
    t.same(changes, []);
    write(JSON.stringify({...SETTINGS, seeds: ['10.9.9.9:1']}));
    watch.reloadIfChanged();
    watch.reloadIfChanged();
    t.equal(changes.length, 1);
    t.match(changes[0].gateway.gossipSeeds[0], /^10\.9\.9\.9:/);
    t.end();
  });
  t.test('keeps the previous settings if the file is invalid, and logs it once', t => {
    const {watch, write, changes, logged} = createWatch(t);
    write('{');
    watch.reloadIfChanged();
    watch.reloadIfChanged();
    t.same(changes, []);
    t.same(logged, ['settings rejected']);
    t.end();
  });
  t.end();
});
