/** Checks of the commands and links that the pages name. */
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

const binaries: ReadonlyMap<string, string> = new Map([
  ['goldcrest-entry', 'packages/entry/bin/goldcrest-entry.js'],
  ['goldcrestctl', 'packages/ctl/bin/goldcrestctl.js'],
  ['goldcrest-load', 'packages/load/bin/goldcrest-load.js'],
  ['goldcrest-standin', 'packages/standin/bin/goldcrest-standin.js'],
]);

const shellWords = ['curl', 'export', 'cd'];
const npmWords = ['ci', 'test'];
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
  text.split(/[^\w-]+/).some((one) => one === word);

/** Gives the arguments that are neither flags nor the values of flags. */
const listOperands = (help: string, args: readonly string[]): string[] =>
  args.filter((arg, index) => {
    const before = args[index - 1] ?? '';
    const takesValue = new RegExp(`${before}\\s+(?:[A-Z]{2}|\\w+ \\w+)`).test(help);
    return !arg.startsWith('--') && !(before.startsWith('--') && takesValue);
  });

/** The first operand names a sub-command; so does the second where the usage lists it as a word. */
const listSubCommandProblems = (help: string, operands: readonly string[]): string[] => {
  const [name, action] = operands;
  if (name === undefined) return [];
  if (!hasWord(help, name)) return [`unknown sub-command ${name}`];
  const forms = help.matchAll(new RegExp(`(?:^|\\| )\\s*${name} ([a-z|-]+)(?= )`, 'gm'));
  const actions = [...forms].flatMap(([, words = '']) => words.split('|'));
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
  const isKnown = first === 'run' ? scripts.includes(second) : npmWords.includes(first);
  return isKnown ? [] : [`unknown script ${second || first}`];
};

const listWordProblems = ([program = '', ...args]: readonly string[]): string[] => {
  if (program === 'npm') return listNpmProblems(args);
  if (program === 'npx' || program === 'node') {
    const [tool = '', ...rest] = args;
    const binary = [...binaries].find(([name, path]) => tool === name || tool === path);
    if (binary) return listBinaryProblems(binary[0], rest);
    return ['vitest', 'tsx'].includes(tool) ? [] : [`unknown tool ${tool}`];
  }
  if (binaries.has(program)) return listBinaryProblems(program, args);
  return shellWords.includes(program) ? [] : [`unknown program ${program}`];
};

/** Lists what is wrong with one command line. */
export const listCommandProblems = (line: string): string[] =>
  line.split('&&').flatMap((command) => {
    const words = command.trim().replace(/ *&$/, '').split(/\s+/);
    return [...listWordProblems(words), ...listPathProblems(words)].map((one) => `${line}: ${one}`);
  });

/** Lists the command lines of a page: its shell blocks, and commands within the text. */
export const listCommands = (page: string): string[] => {
  const text = readFileSync(page, 'utf8');
  const blocks = [...text.matchAll(/^ *```sh\n([\s\S]*?)^ *```/gm)]
    .flatMap(([, block = '']) => block.replaceAll(/\\\n\s*/g, '').split('\n'))
    .map((line) => line.trim());
  const inline = [...text.matchAll(/`((?:npm|npx|goldcrest[a-z-]*) [^`]*)`/g)];
  return [...blocks, ...inline.map(([, line = '']) => line)].filter((line) => line !== '');
};

/** Lists the links of a page whose file is missing. */
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
