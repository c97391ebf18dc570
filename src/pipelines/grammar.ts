import { createToken, CstParser, Lexer, type CstNode, type IToken, type TokenType } from 'chevrotain';

/**
 * The request language of the prompt; `docs/requests.md` gives the grammar in words. Words are told from names by where
 * they stand, so that a team may be called `tasks`: every keyword is also a name.
 */
export const Name = createToken({ name: 'Name', pattern: /[A-Za-z_][\w-]*(?:\.[\w-]+)*/, label: 'a name' });
const word = (text: string): TokenType =>
  createToken({
    name: `${text[0]!.toUpperCase()}${text.slice(1)}Word`,
    pattern: new RegExp(`${text}(?![\\w-])`, 'i'),
    longer_alt: Name,
    categories: [Word],
    label: `'${text}'`,
  });
/** Any word of the language or any name. */
export const Word = createToken({ name: 'Word', pattern: Lexer.NA, label: 'a name' });
Name.CATEGORIES!.push(Word);

const Space = createToken({ name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED });
const Comment = createToken({ name: 'Comment', pattern: /#[^\n]*/, group: Lexer.SKIPPED });
export const LocalTime = createToken({
  name: 'LocalTime',
  pattern: /(?:\d{4}-\d{2}-\d{2}[ T])?\d{1,2}:\d{2}/,
  label: 'a time such as 18:00',
});
export const Zone = createToken({
  name: 'Zone',
  pattern: /[A-Za-z]+\/[A-Za-z_]+(?:\/[A-Za-z_]+)?|UTC/,
  label: 'a zone such as Asia/Karachi',
});
export const Duration = createToken({
  name: 'Duration',
  pattern: /\d+(?:\.\d+)?\s?(?:ms|s|seconds?|m|min|minutes?|h|hours?|d|days?)(?![\w-])/i,
  label: 'a duration such as 35s',
});
export const Size = createToken({
  name: 'Size',
  pattern: /\d+(?:\.\d+)?\s?(?:MB|GB|TB)(?![\w-])/i,
  label: 'a size such as 18 GB',
});
export const Num = createToken({ name: 'Num', pattern: /\d+(?:\.\d+)?(?![\w-])/, label: 'a number' });
const Comma = createToken({ name: 'Comma', pattern: /,/, label: "','" });
const Colon = createToken({ name: 'Colon', pattern: /:/, label: "':'" });
const Open = createToken({ name: 'Open', pattern: /\(/, label: "'('" });
const Close = createToken({ name: 'Close', pattern: /\)/, label: "')'" });

const KEYWORDS = [
  'run',
  'then',
  'after',
  'show',
  'why',
  'does',
  'wait',
  'cancel',
  'retry',
  'help',
  'quit',
  'pipeline',
  'of',
  'for',
  'as',
  'with',
  'image',
  'task',
  'tasks',
  'cpu',
  'cpus',
  'gpu',
  'gpus',
  'array',
  'gang',
  'service',
  'priority',
  'production',
  'high',
  'normal',
  'low',
  'spot',
  'spread',
  'in',
  'one',
  'zone',
  'on',
  'type',
  'types',
  'by',
  'within',
  'taking',
  'saving',
  'every',
  'always',
  'times',
  'id',
  'called',
  'from',
  'to',
  'wide',
  'giving',
  'back',
  'head',
  'room',
  'starting',
  'at',
  'withdraw',
  'hold',
  'cancelled',
  'called',
] as const;
const words = new Map<string, TokenType>();
for (const k of KEYWORDS) if (!words.has(k)) words.set(k, word(k));
const W = (text: (typeof KEYWORDS)[number]): TokenType => words.get(text)!;

const tokens = [
  Space,
  Comment,
  LocalTime,
  Zone,
  Duration,
  Size,
  Num,
  Comma,
  Colon,
  Open,
  Close,
  ...words.values(),
  Name,
  Word,
];
export const RequestLexer = new Lexer(tokens, { positionTracking: 'full', ensureOptimizations: false });

export const VERBS = ['run', 'show', 'why', 'cancel', 'retry', 'help', 'quit'] as const;

class RequestParser extends CstParser {
  constructor() {
    super(tokens, { recoveryEnabled: false, maxLookahead: 3 });
    this.performSelfAnalysis();
  }

  readonly request = this.RULE('request', () => {
    this.OR([
      { ALT: () => this.SUBRULE(this.runs) },
      { ALT: () => this.SUBRULE(this.show) },
      { ALT: () => this.SUBRULE(this.why) },
      { ALT: () => this.SUBRULE(this.cancel) },
      { ALT: () => this.SUBRULE(this.retry) },
      { ALT: () => this.CONSUME(W('help'), { LABEL: 'help' }) },
      { ALT: () => this.CONSUME(W('quit'), { LABEL: 'quit' }) },
    ]);
  });

  private readonly runs = this.RULE('runs', () => {
    this.SUBRULE(this.run);
    this.MANY(() => {
      this.OPTION(() => this.CONSUME(Comma));
      this.OR([
        {
          ALT: () => {
            this.CONSUME(W('then'));
            this.SUBRULE1(this.run, { LABEL: 'next' });
          },
        },
        { ALT: () => this.SUBRULE(this.afterRun) },
      ]);
    });
    this.MANY1(() => this.SUBRULE(this.ending));
  });

  /** `after NAME, NAME run ...`: a step that needs others than the one before it. */
  private readonly afterRun = this.RULE('afterRun', () => {
    this.CONSUME(W('after'));
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => this.CONSUME(Word) });
    this.SUBRULE(this.run);
  });

  private readonly ending = this.RULE('ending', () => {
    this.OPTION(() => this.CONSUME(Comma));
    this.OR([
      {
        ALT: () => {
          this.CONSUME(W('called'));
          this.CONSUME(Word, { LABEL: 'pipelineName' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('starting'));
          this.CONSUME(W('at'));
          this.SUBRULE(this.time);
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('withdraw'));
          this.CONSUME(W('cancelled'));
        },
      },
    ]);
  });

  private readonly run = this.RULE('run', () => {
    this.CONSUME(W('run'));
    this.CONSUME(Word, { LABEL: 'className' });
    this.OPTION(() => {
      this.CONSUME(W('as'));
      this.CONSUME1(Word, { LABEL: 'stepName' });
    });
    this.CONSUME(W('for'));
    this.CONSUME2(Word, { LABEL: 'team' });
    this.CONSUME(Colon);
    this.SUBRULE(this.clause);
    this.MANY({
      GATE: () => !this.endsRun(),
      DEF: () => {
        this.OPTION1(() =>
          this.OR([
            { ALT: () => this.CONSUME(Comma) },
            { ALT: () => this.CONSUME(W('of')) },
            { ALT: () => this.CONSUME(W('with')) },
          ]),
        );
        this.SUBRULE1(this.clause);
      },
    });
  });

  /** A comma belongs to what comes behind it: another clause, or the next step. */
  private endsRun(): boolean {
    const at = this.LA(1).tokenType === Comma ? this.LA(2) : this.LA(1);
    const t = at.tokenType;
    if (
      t === W('then') ||
      t === W('after') ||
      t === W('called') ||
      t === W('starting') ||
      t === W('withdraw')
    )
      return true;
    return at.image === '';
  }

  private readonly clause = this.RULE('clause', () => {
    this.OR([
      { ALT: () => this.SUBRULE(this.counted) },
      { ALT: () => this.CONSUME(Size, { LABEL: 'memory' }) },
      {
        ALT: () => {
          this.CONSUME(W('image'));
          this.CONSUME(Word, { LABEL: 'imageName' });
          this.CONSUME(Open);
          this.CONSUME1(Size, { LABEL: 'imageSize' });
          this.CONSUME(Close);
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('as'));
          this.OR1([
            { ALT: () => this.CONSUME(W('array'), { LABEL: 'kind' }) },
            { ALT: () => this.CONSUME(W('gang'), { LABEL: 'kind' }) },
            { ALT: () => this.CONSUME(W('service'), { LABEL: 'kind' }) },
          ]);
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('priority'));
          this.OR2([
            { ALT: () => this.CONSUME(W('production'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(W('high'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(W('normal'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(W('low'), { LABEL: 'priorityName' }) },
          ]);
        },
      },
      { ALT: () => this.CONSUME(W('spot'), { LABEL: 'spot' }) },
      { ALT: () => this.CONSUME(W('spread'), { LABEL: 'spread' }) },
      {
        ALT: () => {
          this.CONSUME(W('in'));
          this.OR3([
            {
              ALT: () => {
                this.CONSUME(W('one'));
                this.CONSUME(W('zone'), { LABEL: 'oneZone' });
              },
            },
            {
              ALT: () => {
                this.CONSUME1(W('zone'));
                this.CONSUME1(Word, { LABEL: 'zoneName' });
              },
            },
          ]);
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('on'));
          this.OR4([{ ALT: () => this.CONSUME(W('type')) }, { ALT: () => this.CONSUME(W('types')) }]);
          this.AT_LEAST_ONE(() => this.CONSUME2(Name, { LABEL: 'typeName' }));
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('by'));
          this.SUBRULE(this.time, { LABEL: 'due' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('within'));
          this.CONSUME(Duration, { LABEL: 'deadline' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('taking'));
          this.CONSUME1(Duration, { LABEL: 'estimate' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('saving'));
          this.CONSUME(W('every'));
          this.CONSUME2(Duration, { LABEL: 'checkpoint' });
          this.OPTION(() => {
            this.CONSUME1(W('in'));
            this.CONSUME3(Duration, { LABEL: 'save' });
          });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('retry'));
          this.CONSUME(Num, { LABEL: 'retries' });
          this.CONSUME(W('times'));
          this.OPTION1(() => {
            this.CONSUME1(W('every'));
            this.CONSUME4(Duration, { LABEL: 'backoff' });
          });
        },
      },
      { ALT: () => this.CONSUME(W('always'), { LABEL: 'always' }) },
      {
        ALT: () => {
          this.CONSUME(W('from'));
          this.CONSUME1(Num, { LABEL: 'widthLeast' });
          this.CONSUME(W('to'));
          this.CONSUME2(Num, { LABEL: 'widthMost' });
          this.CONSUME(W('wide'));
          this.OPTION2(() => {
            this.CONSUME(W('giving'));
            this.CONSUME(W('back'));
            this.CONSUME2(W('in'));
            this.CONSUME5(Duration, { LABEL: 'giveBack' });
          });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('head'));
          this.CONSUME(W('room'));
          this.CONSUME3(Num, { LABEL: 'headRoom' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(W('id'));
          this.CONSUME3(Word, { LABEL: 'jobId' });
        },
      },
    ]);
  });

  private readonly counted = this.RULE('counted', () => {
    this.CONSUME(Num, { LABEL: 'amount' });
    this.OR([
      { ALT: () => this.CONSUME(W('task'), { LABEL: 'tasks' }) },
      { ALT: () => this.CONSUME(W('tasks'), { LABEL: 'tasks' }) },
      { ALT: () => this.CONSUME(W('cpu'), { LABEL: 'cpus' }) },
      { ALT: () => this.CONSUME(W('cpus'), { LABEL: 'cpus' }) },
      { ALT: () => this.CONSUME(W('gpu'), { LABEL: 'gpus' }) },
      { ALT: () => this.CONSUME(W('gpus'), { LABEL: 'gpus' }) },
    ]);
  });

  private readonly time = this.RULE('time', () => {
    this.CONSUME(LocalTime);
    this.CONSUME(Zone);
  });

  private readonly show = this.RULE('show', () => {
    this.CONSUME(W('show'));
    this.OPTION(() => this.CONSUME(W('pipeline'), { LABEL: 'pipeline' }));
    this.CONSUME(Word, { LABEL: 'target' });
  });

  private readonly why = this.RULE('why', () => {
    this.CONSUME(W('why'));
    this.CONSUME(W('does'));
    this.CONSUME(Word, { LABEL: 'target' });
    this.CONSUME(W('wait'));
  });

  private readonly cancel = this.RULE('cancel', () => {
    this.CONSUME(W('cancel'));
    this.OPTION(() => this.CONSUME(W('pipeline'), { LABEL: 'pipeline' }));
    this.CONSUME(Word, { LABEL: 'target' });
  });

  private readonly retry = this.RULE('retry', () => {
    this.CONSUME(W('retry'));
    this.CONSUME(Word, { LABEL: 'step' });
    this.CONSUME(W('of'));
    this.CONSUME1(Word, { LABEL: 'target' });
  });
}

export const requestParser = new RequestParser();

/** What may stand next after this text: words of the language, and which sort of name. */
export function expectedNext(text: string): string[] {
  const { tokens: before } = RequestLexer.tokenize(text);
  const found = requestParser.computeContentAssist('request', before);
  const out = new Set<string>();
  for (const f of found) {
    const label = f.nextTokenType.LABEL;
    out.add(
      f.nextTokenType === Word || f.nextTokenType === Name
        ? f.ruleStack.at(-1)!
        : label
          ? label.replaceAll("'", '')
          : f.nextTokenType.name,
    );
  }
  return [...out];
}

export type { CstNode, IToken };
