/** Demo: a small site under load, with the loss of an entry VM and of an availability zone. */
import { formatErrors, formatTable, listViolations } from './demo/report.js';
import { runDemo } from './demo/runDemo.js';
import { loadSiteSettings, Site } from './site/index.js';

const SITE_FILE = new URL('../playground/small/site.json', import.meta.url);

const print = (line: string): void => console.log(line);

const main = async (): Promise<boolean> => {
  const startedAtMs = Date.now();
  const site = new Site(loadSiteSettings(SITE_FILE));
  try {
    print('starting three entry VMs, six engines, two store VMs, one service and the platform');
    await site.start();
    const result = await runDemo(site, print);
    const { nonIdempotentCalls } = result;
    const violations = listViolations(result);
    print(`\n${formatTable(result.phases)}\n`);
    print(formatErrors(result.phases));
    print(
      `non-idempotent requests: ${nonIdempotentCalls.calls} sent, ${nonIdempotentCalls.answered} answered, ` +
        `${nonIdempotentCalls.unknown} reported as "may have run", ${nonIdempotentCalls.duplicatedCalls} run more than once`,
    );
    print(`time: ${((Date.now() - startedAtMs) / 1000).toFixed(0)} s`);
    print(
      violations.length === 0
        ? 'verdict: ok; all answers complete, no non-idempotent request lost or run more than once'
        : `verdict: not ok; ${violations.join('; ')}`,
    );
    return violations.length === 0;
  } finally {
    await site.stop();
  }
};

process.exit((await main()) ? 0 : 1);
