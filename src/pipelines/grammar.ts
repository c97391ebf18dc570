import { createToken, CstParser, Lexer, type CstNode, type IToken, type TokenType } from 'chevrotain';

/**
 * The request language of the prompt; `docs/requests.md` describes the grammar. Keywords are distinguished from names by
 * their position: every keyword is also accepted as a name, so that a team may be called `tasks`.
 */
export const Name = createToken({ name: 'Name', pattern: /[A-Za-z_][\w-]*(?:\.[\w-]+)*/, label: 'a name' });
const keyword = (text: string): TokenType =>
  createToken({
    name: `${text[0]!.toUpperCase()}${text.slice(1)}Word`,
    pattern: new RegExp(`${text}(?![\\w-])`, 'i'),
    longer_alt: Name,
    categories: [Word],
    label: `'${text}'`,
  });
/** Token category of all keywords and names. */
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
const keywordTokens = new Map<string, TokenType>();
for (const k of KEYWORDS) if (!keywordTokens.has(k)) keywordTokens.set(k, keyword(k));
const keywordToken = (text: (typeof KEYWORDS)[number]): TokenType => keywordTokens.get(text)!;

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
  ...keywordTokens.values(),
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
      { ALT: () => this.CONSUME(keywordToken('help'), { LABEL: 'help' }) },
      { ALT: () => this.CONSUME(keywordToken('quit'), { LABEL: 'quit' }) },
    ]);
  });

  private readonly runs = this.RULE('runs', () => {
    this.SUBRULE(this.run);
    this.MANY(() => {
      this.OPTION(() => this.CONSUME(Comma));
      this.OR([
        {
          ALT: () => {
            this.CONSUME(keywordToken('then'));
            this.SUBRULE1(this.run, { LABEL: 'next' });
          },
        },
        { ALT: () => this.SUBRULE(this.afterRun) },
      ]);
    });
    this.MANY1(() => this.SUBRULE(this.ending));
  });

  /** `after NAME, NAME run ...`: a step whose needs are listed, instead of the preceding step. */
  private readonly afterRun = this.RULE('afterRun', () => {
    this.CONSUME(keywordToken('after'));
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => this.CONSUME(Word) });
    this.SUBRULE(this.run);
  });

  private readonly ending = this.RULE('ending', () => {
    this.OPTION(() => this.CONSUME(Comma));
    this.OR([
      {
        ALT: () => {
          this.CONSUME(keywordToken('called'));
          this.CONSUME(Word, { LABEL: 'pipelineName' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('starting'));
          this.CONSUME(keywordToken('at'));
          this.SUBRULE(this.time);
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('withdraw'));
          this.CONSUME(keywordToken('cancelled'));
        },
      },
    ]);
  });

  private readonly run = this.RULE('run', () => {
    this.CONSUME(keywordToken('run'));
    this.CONSUME(Word, { LABEL: 'className' });
    this.OPTION(() => {
      this.CONSUME(keywordToken('as'));
      this.CONSUME1(Word, { LABEL: 'stepName' });
    });
    this.CONSUME(keywordToken('for'));
    this.CONSUME2(Word, { LABEL: 'team' });
    this.CONSUME(Colon);
    this.SUBRULE(this.clause);
    this.MANY({
      GATE: () => !this.endsRun(),
      DEF: () => {
        this.OPTION1(() =>
          this.OR([
            { ALT: () => this.CONSUME(Comma) },
            { ALT: () => this.CONSUME(keywordToken('of')) },
            { ALT: () => this.CONSUME(keywordToken('with')) },
          ]),
        );
        this.SUBRULE1(this.clause);
      },
    });
  });

  /** Whether no further clause of this run follows. A comma belongs to what follows it: another clause, or the next step. */
  private endsRun(): boolean {
    const next = this.LA(1).tokenType === Comma ? this.LA(2) : this.LA(1);
    const tokenType = next.tokenType;
    if (
      tokenType === keywordToken('then') ||
      tokenType === keywordToken('after') ||
      tokenType === keywordToken('called') ||
      tokenType === keywordToken('starting') ||
      tokenType === keywordToken('withdraw')
    )
      return true;
    return next.image === '';
  }

  private readonly clause = this.RULE('clause', () => {
    this.OR([
      { ALT: () => this.SUBRULE(this.counted) },
      { ALT: () => this.CONSUME(Size, { LABEL: 'memory' }) },
      {
        ALT: () => {
          this.CONSUME(keywordToken('image'));
          this.CONSUME(Word, { LABEL: 'imageName' });
          this.CONSUME(Open);
          this.CONSUME1(Size, { LABEL: 'imageSize' });
          this.CONSUME(Close);
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('as'));
          this.OR1([
            { ALT: () => this.CONSUME(keywordToken('array'), { LABEL: 'kind' }) },
            { ALT: () => this.CONSUME(keywordToken('gang'), { LABEL: 'kind' }) },
            { ALT: () => this.CONSUME(keywordToken('service'), { LABEL: 'kind' }) },
          ]);
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('priority'));
          this.OR2([
            { ALT: () => this.CONSUME(keywordToken('production'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(keywordToken('high'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(keywordToken('normal'), { LABEL: 'priorityName' }) },
            { ALT: () => this.CONSUME(keywordToken('low'), { LABEL: 'priorityName' }) },
          ]);
        },
      },
      { ALT: () => this.CONSUME(keywordToken('spot'), { LABEL: 'spot' }) },
      { ALT: () => this.CONSUME(keywordToken('spread'), { LABEL: 'spread' }) },
      {
        ALT: () => {
          this.CONSUME(keywordToken('in'));
          this.OR3([
            {
              ALT: () => {
                this.CONSUME(keywordToken('one'));
                this.CONSUME(keywordToken('zone'), { LABEL: 'oneZone' });
              },
            },
            {
              ALT: () => {
                this.CONSUME1(keywordToken('zone'));
                this.CONSUME1(Word, { LABEL: 'zoneName' });
              },
            },
          ]);
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('on'));
          this.OR4([
            { ALT: () => this.CONSUME(keywordToken('type')) },
            { ALT: () => this.CONSUME(keywordToken('types')) },
          ]);
          this.AT_LEAST_ONE(() => this.CONSUME2(Name, { LABEL: 'typeName' }));
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('by'));
          this.SUBRULE(this.time, { LABEL: 'due' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('within'));
          this.CONSUME(Duration, { LABEL: 'deadline' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('taking'));
          this.CONSUME1(Duration, { LABEL: 'estimate' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('saving'));
          this.CONSUME(keywordToken('every'));
          this.CONSUME2(Duration, { LABEL: 'checkpoint' });
          this.OPTION(() => {
            this.CONSUME1(keywordToken('in'));
            this.CONSUME3(Duration, { LABEL: 'save' });
          });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('retry'));
          this.CONSUME(Num, { LABEL: 'retries' });
          this.CONSUME(keywordToken('times'));
          this.OPTION1(() => {
            this.CONSUME1(keywordToken('every'));
            this.CONSUME4(Duration, { LABEL: 'backoff' });
          });
        },
      },
      { ALT: () => this.CONSUME(keywordToken('always'), { LABEL: 'always' }) },
      {
        ALT: () => {
          this.CONSUME(keywordToken('from'));
          this.CONSUME1(Num, { LABEL: 'widthLeast' });
          this.CONSUME(keywordToken('to'));
          this.CONSUME2(Num, { LABEL: 'widthMost' });
          this.CONSUME(keywordToken('wide'));
          this.OPTION2(() => {
            this.CONSUME(keywordToken('giving'));
            this.CONSUME(keywordToken('back'));
            this.CONSUME2(keywordToken('in'));
            this.CONSUME5(Duration, { LABEL: 'giveBack' });
          });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('head'));
          this.CONSUME(keywordToken('room'));
          this.CONSUME3(Num, { LABEL: 'headRoom' });
        },
      },
      {
        ALT: () => {
          this.CONSUME(keywordToken('id'));
          this.CONSUME3(Word, { LABEL: 'jobId' });
        },
      },
    ]);
  });

  private readonly counted = this.RULE('counted', () => {
    this.CONSUME(Num, { LABEL: 'amount' });
    this.OR([
      { ALT: () => this.CONSUME(keywordToken('task'), { LABEL: 'tasks' }) },
      { ALT: () => this.CONSUME(keywordToken('tasks'), { LABEL: 'tasks' }) },
      { ALT: () => this.CONSUME(keywordToken('cpu'), { LABEL: 'cpus' }) },
      { ALT: () => this.CONSUME(keywordToken('cpus'), { LABEL: 'cpus' }) },
      { ALT: () => this.CONSUME(keywordToken('gpu'), { LABEL: 'gpus' }) },
      { ALT: () => this.CONSUME(keywordToken('gpus'), { LABEL: 'gpus' }) },
    ]);
  });

  private readonly time = this.RULE('time', () => {
    this.CONSUME(LocalTime);
    this.CONSUME(Zone);
  });

  private readonly show = this.RULE('show', () => {
    this.CONSUME(keywordToken('show'));
    this.OPTION(() => this.CONSUME(keywordToken('pipeline'), { LABEL: 'pipeline' }));
    this.CONSUME(Word, { LABEL: 'target' });
  });

  private readonly why = this.RULE('why', () => {
    this.CONSUME(keywordToken('why'));
    this.CONSUME(keywordToken('does'));
    this.CONSUME(Word, { LABEL: 'target' });
    this.CONSUME(keywordToken('wait'));
  });

  private readonly cancel = this.RULE('cancel', () => {
    this.CONSUME(keywordToken('cancel'));
    this.OPTION(() => this.CONSUME(keywordToken('pipeline'), { LABEL: 'pipeline' }));
    this.CONSUME(Word, { LABEL: 'target' });
  });

  private readonly retry = this.RULE('retry', () => {
    this.CONSUME(keywordToken('retry'));
    this.CONSUME(Word, { LABEL: 'step' });
    this.CONSUME(keywordToken('of'));
    this.CONSUME1(Word, { LABEL: 'target' });
  });
}

export const requestParser = new RequestParser();

/** What may follow this text: labels of tokens; for a name, the grammar rule that expects it. */
export function expectedNext(text: string): string[] {
  const { tokens: precedingTokens } = RequestLexer.tokenize(text);
  const suggestions = requestParser.computeContentAssist('request', precedingTokens);
  const expected = new Set<string>();
  for (const suggestion of suggestions) {
    const label = suggestion.nextTokenType.LABEL;
    expected.add(
      suggestion.nextTokenType === Word || suggestion.nextTokenType === Name
        ? suggestion.ruleStack.at(-1)!
        : label
          ? label.replaceAll("'", '')
          : suggestion.nextTokenType.name,
    );
  }
  return [...expected];
}

export type { CstNode, IToken };
