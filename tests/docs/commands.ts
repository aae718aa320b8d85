/** Checks that the commands and links in the documentation refer to something that exists. */
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

const binaries: ReadonlyMap<string, string> = new Map([
  ['goldcrest-entry', 'packages/entry/bin/goldcrest-entry.js'],
  ['goldcrestctl', 'packages/ctl/bin/goldcrestctl.js'],
  ['goldcrest-load', 'packages/load/bin/goldcrest-load.js'],
  ['goldcrest-standin', 'packages/standin/bin/goldcrest-standin.js'],
]);

const shellCommands = ['curl', 'export', 'cd'];
const npmCommands = ['ci', 'test'];
const commonFlags = ['--help', '--version'];
const scripts = Object.keys(
  (JSON.parse(readFileSync('package.json', 'utf8')) as { scripts: object }).scripts,
);
const helpTexts = new Map<string, string>();

const readHelp = (binary: string): string => {
  const known = helpTexts.get(binary);
  if (known !== undefined) return known;
  const script = binaries.get(binary) ?? '';
  const text = execFileSync(process.execPath, [script, '--help'], { encoding: 'utf8' });
  helpTexts.set(binary, text);
  return text;
};

const hasWord = (text: string, word: string): boolean =>
  text.split(/[^\w-]+/).some((token) => token === word);

/** Lists the arguments that are neither flags nor values of flags. */
const listOperands = (help: string, args: readonly string[]): string[] =>
  args.filter((arg, index) => {
    const before = args[index - 1] ?? '';
    const takesValue = new RegExp(`${before}\\s+(?:[A-Z]{2}|\\w+ \\w+)`).test(help);
    return !arg.startsWith('--') && !(before.startsWith('--') && takesValue);
  });

/** Checks the subcommand, and its action where the usage text lists actions after it. */
const listSubCommandProblems = (help: string, operands: readonly string[]): string[] => {
  const [name, action] = operands;
  if (name === undefined) return [];
  if (!hasWord(help, name)) return [`unknown subcommand ${name}`];
  const usageForms = help.matchAll(new RegExp(`(?:^|\\| )\\s*${name} ([a-z|-]+)(?= )`, 'gm'));
  const actions = [...usageForms].flatMap(([, words = '']) => words.split('|'));
  const isKnown = actions.length === 0 || actions.includes(action ?? '');
  return isKnown ? [] : [`unknown action ${name} ${action}`];
};

const listBinaryProblems = (binary: string, args: readonly string[]): string[] => {
  const help = readHelp(binary);
  const flags = args.filter((arg) => arg.startsWith('--') && !commonFlags.includes(arg));
  return [
    ...flags.filter((flag) => !hasWord(help, flag)).map((flag) => `unknown flag ${flag}`),
    ...listSubCommandProblems(help, listOperands(help, args)),
  ];
};

const listPathProblems = (args: readonly string[]): string[] =>
  args
    .filter((arg) => /^(docs|packages|tests|scripts|bench)\//.test(arg) && !existsSync(arg))
    .map((arg) => `no file ${arg}`);

const listNpmProblems = ([first = '', second = '']: readonly string[]): string[] => {
  const isKnown = first === 'run' ? scripts.includes(second) : npmCommands.includes(first);
  return isKnown ? [] : [`unknown script ${second || first}`];
};

const listProgramProblems = ([program = '', ...args]: readonly string[]): string[] => {
  if (program === 'npm') return listNpmProblems(args);
  if (program === 'npx' || program === 'node') {
    const [tool = '', ...rest] = args;
    const binary = [...binaries].find(([name, path]) => tool === name || tool === path);
    if (binary) return listBinaryProblems(binary[0], rest);
    return ['vitest', 'tsx'].includes(tool) ? [] : [`unknown tool ${tool}`];
  }
  if (binaries.has(program)) return listBinaryProblems(program, args);
  return shellCommands.includes(program) ? [] : [`unknown program ${program}`];
};

/** Lists the problems of one command line: unknown programs, scripts, flags, subcommands and paths. */
export const listCommandProblems = (line: string): string[] =>
  line.split('&&').flatMap((command) => {
    const words = command.trim().replace(/ *&$/, '').split(/\s+/);
    return [...listProgramProblems(words), ...listPathProblems(words)].map(
      (problem) => `${line}: ${problem}`,
    );
  });

/** Lists the command lines of a page, from its shell code blocks and from inline code. */
export const listCommands = (page: string): string[] => {
  const text = readFileSync(page, 'utf8');
  const blocks = [...text.matchAll(/^ *```sh\n([\s\S]*?)^ *```/gm)]
    .flatMap(([, block = '']) => block.replaceAll(/\\\n\s*/g, '').split('\n'))
    .map((line) => line.trim());
  const inline = [...text.matchAll(/`((?:npm|npx|goldcrest[a-z-]*) [^`]*)`/g)];
  return [...blocks, ...inline.map(([, line = '']) => line)].filter((line) => line !== '');
};

/** Lists the relative links of a page whose target does not exist. */
export const listBrokenLinks = (page: string): string[] =>
  [
    ...readFileSync(page, 'utf8')
      .replaceAll(/`[^`\n]*`/g, '')
      .matchAll(/\]\(([^)\s#]+)[^)]*\)/g),
  ]
    .map(([, target = '']) => target)
    .filter((target) => !/^[a-z]+:/.test(target))
    .filter((target) => !existsSync(join(dirname(page), target)))
    .map((target) => `${page}: ${target}`);
