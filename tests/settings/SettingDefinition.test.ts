/** Tests of the setting parsers and their error messages. */
import t from 'tap';
import {parseHttpUrl, parsePort, parseSetting} from '../../src/settings/index.js';

t.test('parseSetting', t => {
  function doTest(name: string, text: string | undefined, expectedMessage: string | undefined) {
    t.test(name, t => {
      const definition = {
        flag: 'log-url',
        variable: 'BUCKTHORN_LOG_URL',
        description: 'Log',
        parse: parseHttpUrl,
      };
      if (expectedMessage === undefined) t.equal(parseSetting(definition, text), text);
      else t.throws(() => parseSetting(definition, text), {message: expectedMessage});
      t.end();
    });
  }

  doTest('accepts a URL with an IP address', 'http://127.0.0.1:7000', undefined);
  doTest(
    'names the flag and variable of a missing setting',
    undefined,
    '--log-url (BUCKTHORN_LOG_URL) is missing',
  );
  doTest(
    'rejects a host name and names the value',
    'http://log:7000',
    '--log-url (BUCKTHORN_LOG_URL): "http://log:7000" has the host name "log" instead of an IP address',
  );
  t.end();
});

t.test('parsePort', t => {
  t.equal(parsePort('8080'), 8080);
  t.throws(() => parsePort('80800'), {message: 'is not a whole number from 0 to 65535'});
  t.throws(() => parsePort(''), {message: 'is not a whole number from 0 to 65535'});
  t.end();
});
