/**
 * Event log with one key=value line per event. Lines are written in batches,
 * because every routing decision writes one. tslog filters by level; its
 * transport formats the lines.
 */
import process from "node:process";
import { Logger } from "tslog";

/** Values that a log field may hold. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event. */
export type LogFields = Record<string, LogValue>;

/** Log levels in ascending order of severity, numbered as in tslog. */
export const LogLevel = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Name of a log level. */
export type LogLevelName = keyof typeof LogLevel;

/** Log of one process. */
export interface EventLog {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes all buffered lines. */
  flush(): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level: LogLevelName;
  /** Fields added to every line. */
  baseFields?: LogFields;
  /** Receives the text of complete lines; standard output by default. */
  write?: (text: string) => void;
}

const FLUSH_DELAY_MILLIS = 50;
const MAX_BUFFERED_LINES = 512;
/** Length of the buffered lines from which they are written at once. */
const MAX_BUFFERED_CHARACTERS = 65_536;
/** Length from which a value is shortened; stacks have less, ids of callers may have more. */
const MAX_VALUE_CHARACTERS = 4096;

function shorten(text: string): string {
  return text.length > MAX_VALUE_CHARACTERS
    ? `${text.slice(0, MAX_VALUE_CHARACTERS)}... (${text.length} characters)`
    : text;
}

function formatValue(value: LogValue): string {
  const text = shorten(String(value));
  return /[\s"=]/.test(text) || text === "" ? JSON.stringify(text) : text;
}

/** Formats one line without its newline; long values are shortened and say so. */
export function formatLine(
  level: string,
  event: string,
  options: { fields: LogFields; timeMillis: number },
): string {
  let line = `time=${new Date(options.timeMillis).toISOString()}`;
  line += ` level=${level} event=${event}`;
  for (const name in options.fields) {
    const value = options.fields[name];
    if (value !== undefined) line += ` ${name}=${formatValue(value)}`;
  }
  return line;
}

/** Record passed to the transport; arguments are not copied, call sites are not resolved. */
interface LogRecord {
  event: string;
  fields: LogFields;
  levelName: string;
}

class BufferedSink {
  #lines: string[] = [];
  #characters = 0;
  #timer: NodeJS.Timeout | undefined;
  readonly #write: (text: string) => void;

  constructor(write: (text: string) => void) {
    this.#write = write;
  }

  add(line: string): void {
    this.#lines.push(line);
    this.#characters += line.length;
    const isFull = this.#lines.length >= MAX_BUFFERED_LINES ||
      this.#characters >= MAX_BUFFERED_CHARACTERS;
    if (isFull) return this.flush();
    if (this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.flush(), FLUSH_DELAY_MILLIS);
    this.#timer.unref();
  }

  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length === 0) return;
    const text = this.#lines.join("\n") + "\n";
    this.#lines = [];
    this.#characters = 0;
    this.#write(text);
  }
}

/** Creates the event log of a process. */
export function createLogger(options: LoggerOptions): EventLog {
  const sink = new BufferedSink(
    options.write ?? ((text) => process.stdout.write(text)),
  );
  const baseFields = options.baseFields ?? {};
  const logger = new Logger<unknown>({
    type: "hidden",
    minLevel: LogLevel[options.level],
    hideLogPositionForProduction: true,
    maskValuesOfKeys: [],
    overwrite: {
      mask: (args) => args,
      toLogObj: (args) => args as unknown as LogRecord,
      addMeta: (record, _id, levelName) => {
        const args = record as unknown as [string, LogFields];
        return { event: args[0], fields: args[1], levelName } as never;
      },
    },
  });
  logger.attachTransport((record) => {
    const { event, fields, levelName } = record as unknown as LogRecord;
    sink.add(
      formatLine(levelName.toLowerCase(), event, {
        fields: { ...baseFields, ...fields },
        timeMillis: Date.now(),
      }),
    );
  });
  const minimum = LogLevel[options.level];
  function createWriter(
    level: LogLevelName,
    send: (e: string, f: LogFields) => void,
  ) {
    if (LogLevel[level] < minimum) return () => {};
    return (event: string, fields: LogFields = {}) => send(event, fields);
  }
  return {
    debug: createWriter(
      "debug",
      (event, fields) => logger.debug(event, fields),
    ),
    info: createWriter("info", (event, fields) => logger.info(event, fields)),
    warn: createWriter("warn", (event, fields) => logger.warn(event, fields)),
    error: createWriter(
      "error",
      (event, fields) => logger.error(event, fields),
    ),
    flush: () => sink.flush(),
  };
}

/** Creates a log that discards all events. */
export function createNoopLogger(): EventLog {
  const ignore = () => {};
  return {
    debug: ignore,
    info: ignore,
    warn: ignore,
    error: ignore,
    flush: ignore,
  };
}
