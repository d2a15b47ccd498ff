package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// pollInterval is the time between attempts to reach a process that is starting.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one request to a process's /readyz.
	pollTimeout = 500 * time.Millisecond
	// defaultOctet is the default second octet of the loopback addresses.
	defaultOctet = 77
)

// Command returns the command "deployment" of balsamdev.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "deployment",
		Usage: "set up a deployment on loopback addresses",
		Commands: []*cli.Command{
			{
				Name:   "write",
				Usage:  "write settings, certificates and the list of processes",
				Flags:  writeFlags(),
				Action: write,
			},
			{
				Name:   "prepare",
				Usage:  "publish the initial customers, plans and out-of-service documents",
				Flags:  []cli.Flag{folderFlag()},
				Action: prepare,
			},
			{
				Name:  "wait",
				Usage: "wait until all processes of a deployment are ready",
				Flags: []cli.Flag{
					folderFlag(),
					&cli.DurationFlag{Name: "timeout", Usage: "maximum time to wait", Value: 20 * time.Second},
				},
				Action: wait,
			},
		},
	}
}

func folderFlag() cli.Flag {
	return &cli.StringFlag{Name: "folder", Usage: "`FOLDER` of the deployment", Required: true}
}

func writeFlags() []cli.Flag {
	names := slices.Sorted(maps.Keys(Shapes()))
	return []cli.Flag{
		&cli.StringFlag{Name: "shape", Usage: "example deployment, one of " + strings.Join(names, ", "), Value: "endcap"},
		&cli.StringFlag{Name: "folder", Usage: "`FOLDER` to write to", Required: true},
		&cli.Uint8Flag{Name: "octet", Usage: "second octet of the loopback addresses", Value: defaultOctet},
	}
}

func write(_ context.Context, command *cli.Command) error {
	shape, found := Shapes()[command.String("shape")]
	if !found {
		return Error.New("shape: %q is not known; allowed: %v", command.String("shape"), slices.Sorted(maps.Keys(Shapes())))
	}
	layout, err := Write(shape, AddressPlan{Octet: command.Uint8("octet")}, command.String("folder"))
	if err != nil {
		return err
	}
	for _, process := range layout.Processes {
		fmt.Println(process.Name, process.Program, strings.Join(process.Args, " "))
	}
	return nil
}

// ReadLayout reads the layout of a deployment from the folder that Write wrote.
func ReadLayout(folder string) (Layout, error) {
	text, err := os.ReadFile(filepath.Join(folder, "layout.json"))
	if err != nil {
		return Layout{}, Error.Wrap(err)
	}
	var layout Layout
	return layout, Error.Wrap(json.Unmarshal(text, &layout))
}

// prepareTimeout bounds the publication of the initial documents.
const prepareTimeout = 10 * time.Second

func prepare(ctx context.Context, command *cli.Command) error {
	layout, err := ReadLayout(command.String("folder"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	return layout.PublishInitialDocuments(ctx)
}

func wait(ctx context.Context, command *cli.Command) error {
	layout, err := ReadLayout(command.String("folder"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	return layout.AwaitReady(ctx)
}

// AwaitReady waits until /readyz of all processes that have one succeeds. When the
// context ends first, its error names the first process that is not ready.
func (l Layout) AwaitReady(ctx context.Context) error {
	for _, process := range l.Processes {
		if !process.Ready.IsValid() {
			continue
		}
		if err := awaitReady(ctx, process); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(ctx context.Context, process Process) error {
	client := &http.Client{Timeout: pollTimeout}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		response, err := client.Get("http://" + process.Ready.String() + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return Error.New("%s is not ready: %v", process.Name, ctx.Err())
		case <-ticker.C:
		}
	}
}
