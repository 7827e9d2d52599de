package dogfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"dogwoodford/core/version/dogcontract"
	"dogwoodford/core/version/dogini"
)

// Extension is the file name extension of contract files.
const Extension = ".ini"

// ErrName is returned for a file that is not named after its customer.
var ErrName = eris.New("the file is not named after its customer")

// ErrEmpty is returned for a folder without contract files.
var ErrEmpty = eris.New("the folder has no contract files")

// File is a contract file that was read and parsed.
type File struct {
	Path     string
	Text     []byte
	Contract *dogcontract.Contract
}

// Read reads and validates one contract file. The file name is not compared with
// the customer, so that a draft can have any name.
func Read(path string) (File, error) {
	f, err := os.Open(path)
	if err != nil {
		return File{}, fmt.Errorf("contract file: %w", err)
	}
	defer f.Close()
	// Reading one byte more than allowed lets the parser report the excess size.
	text, err := io.ReadAll(io.LimitReader(f, dogini.MaxBytes+1))
	if err != nil {
		return File{}, fmt.Errorf("contract file: %w", err)
	}
	c, err := dogcontract.Parse(path, text)
	if err != nil {
		return File{}, fmt.Errorf("contract file: %w", err)
	}
	return File{Path: path, Text: text, Contract: c}, nil
}

// ReadFolder reads and validates the contract files of a folder, in the order of
// their names. Files with other extensions and subfolders are ignored. ReadFolder
// returns the valid files, and an error that joins the errors of all others.
func ReadFolder(path string) ([]File, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("contract folder: %w", err)
	}
	var files []File
	var errs []error
	for _, e := range entries {
		if e.IsDir() || filepath.Ext(e.Name()) != Extension {
			continue
		}
		f, err := Read(filepath.Join(path, e.Name()))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if want := strings.TrimSuffix(e.Name(), Extension); f.Contract.Customer() != want {
			errs = append(errs, fmt.Errorf("%s: customer %s: %w", f.Path, f.Contract.Customer(), ErrName))
			continue
		}
		files = append(files, f)
	}
	if len(files) == 0 && len(errs) == 0 {
		errs = append(errs, fmt.Errorf("%s: %w", path, ErrEmpty))
	}
	return files, errors.Join(errs...)
}
